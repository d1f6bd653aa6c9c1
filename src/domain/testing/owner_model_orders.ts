/**
 * Orders of the simulation, which are delivered at once, late, twice or never,
 * and the invariants that are checked when they arrive.
 *
 * @module
 */
import {
  COMMAND_PATHS,
  handleCommand,
  startOrStopCommand,
} from "../../../stand_ins/platform/worker.ts";
import type { StandInResponse } from "../../../stand_ins/platform/store.ts";
import type { DomainCommand, WorkerOrder } from "../domain_command.ts";
import { findTask } from "../reconcile_worker.ts";
import type { StartAnswer } from "../worker_report.ts";
import { feedEvent } from "./domain_bench.ts";
import type {
  Model,
  PendingOrder,
  SimulatedWorker,
} from "./owner_model_state.ts";

/** Duration of a lease in the simulation, in milliseconds. */
export const LEASE_MS = 5_500;
/** The longest time between two steps of the simulation, in milliseconds. */
export const MAX_TIME_STEP_MS = 250;

/** Executes commands of the domain. */
export function executeCommands(model: Model, commands: DomainCommand[]): void {
  for (const command of commands) {
    if (command.kind === "order") sendOrder(model, command.order);
    if (command.kind === "acknowledge") acknowledgeEnds(model, command);
  }
}

function acknowledgeEnds(
  model: Model,
  command: Extract<DomainCommand, { kind: "acknowledge" }>,
): void {
  const simulated = model.workers.get(command.worker);
  if (simulated === undefined || simulated.worker.bornMs !== command.bornMs) {
    return;
  }
  simulated.acknowledged = command.lastEnd;
  for (const [number, task, , end] of simulated.worker.endedRuns) {
    const isAccepted = number <= command.lastEnd &&
      !simulated.endsBeforeExpiry.has(number);
    if (isAccepted && end === "done") model.acknowledgedDone.add(task);
  }
}

/**
 * Returns when the lease that an order carries expires. A start grants a lease
 * from when it is sent, whenever it arrives.
 */
function grantLease(model: Model, order: WorkerOrder): number {
  const simulated = model.workers.get(order.worker);
  const untilMs = model.bench.nowMs + LEASE_MS;
  if (
    simulated === undefined || simulated.isPartitioned || order.kind !== "start"
  ) {
    return model.bench.nowMs;
  }
  simulated.leaseUntilMs = Math.max(simulated.leaseUntilMs, untilMs);
  return untilMs;
}

/** Queues an order for delivery at once or late, and sometimes once more. */
function sendOrder(model: Model, order: WorkerOrder): void {
  const { random, bench, epoch } = model;
  const lateMs = random.integer(0, 5) === 0 ? random.integer(0, 4_000) : 0;
  const bornMs = model.workers.get(order.worker)?.worker.bornMs ?? 0;
  const dueAtMs = bench.nowMs + lateMs;
  const deadlineMs = grantLease(model, order);
  const pending = {
    order,
    epoch,
    bornMs,
    dueAtMs,
    deadlineMs,
    isDuplicate: false,
    isLinkLost: false,
  };
  model.orders.push(pending);
  if (random.integer(0, 5) > 0) return;
  model.orders.push({
    ...pending,
    isDuplicate: true,
    dueAtMs: bench.nowMs + random.integer(0, 4_000),
  });
}

/** Delivers an order to its worker and applies the answer. */
export function deliverOrder(model: Model, pending: PendingOrder): void {
  const { bench } = model;
  const { order, epoch } = pending;
  const simulated = model.workers.get(order.worker);
  if (simulated === undefined) return;
  const { bornMs } = simulated.worker;
  if (bornMs !== pending.bornMs || simulated.isPartitioned) {
    resendOrder(model, { ...pending, bornMs });
    return;
  }
  const startedBefore = simulated.worker.started.length;
  const answer = handleCommand(
    simulated.worker,
    order.kind === "start" ? COMMAND_PATHS.start : COMMAND_PATHS.stop,
    startOrStopCommand({
      task: order.task,
      attempt: order.attempt,
      epoch,
      leaseUntilMs: order.kind === "start" ? pending.deadlineMs : undefined,
    }),
    bench.nowMs,
  );
  if (simulated.worker.started.length > startedBefore) {
    checkStartAllowed(model, simulated.worker.id, order.task);
  }
  if (epoch !== model.epoch || pending.isLinkLost) return;
  if (order.kind === "stop") {
    if (answer.status !== 200) return;
    executeCommands(
      model,
      feedEvent(bench, { ...order, kind: "stopConfirmed" }),
    );
    return;
  }
  executeCommands(
    model,
    feedEvent(bench, {
      ...order,
      kind: "startAnswered",
      answer: toStartAnswer(answer),
    }),
  );
}

/** Queues an unanswered order again if it is still valid, as an owner does. */
function resendOrder(model: Model, pending: PendingOrder): void {
  const { order, epoch, isDuplicate, isLinkLost } = pending;
  if (isDuplicate || isLinkLost || epoch !== model.epoch) return;
  const found = findTask(model.bench.domain, order.task);
  const task = found?.run.tasks[found.index];
  const isPlaced = task?.kind === "placed" && task.worker === order.worker &&
    task.attempt === order.attempt;
  const isStillValid = order.kind === "start"
    ? isPlaced && task.phase.kind === "starting"
    : !isPlaced || task.phase.kind === "stopping";
  if (!isStillValid) return;
  model.orders.push({
    ...pending,
    dueAtMs: model.bench.nowMs + MAX_TIME_STEP_MS,
    deadlineMs: grantLease(model, order),
  });
}

function toStartAnswer(answer: StandInResponse): StartAnswer {
  if (answer.status === 200) return { kind: "accepted" };
  const { reason } = answer.body as { reason: string };
  if (reason !== "late") return { kind: "superseded" };
  return { kind: "rejected", cause: "late", earlierUnknown: true };
}

/**
 * Records a violation if a task starts after its end was acknowledged, or while
 * another worker with a valid lease runs it.
 */
function checkStartAllowed(model: Model, worker: string, task: string): void {
  if (model.acknowledgedDone.has(task)) {
    model.violations.push(
      `${task} started again after its end was acknowledged`,
    );
  }
  for (const [id, simulated] of model.workers) {
    if (
      id !== worker && simulated.worker.running.has(task) &&
      isLeased(model, simulated)
    ) {
      model.violations.push(`${task} runs on ${id} and ${worker}`);
    }
  }
}

function isLeased(model: Model, simulated: SimulatedWorker): boolean {
  return simulated.worker.leaseUntilMs >= model.bench.nowMs;
}

/** Checks that no worker runs more than its capacity: 8 tasks of one core. */
export function checkCapacity(model: Model): void {
  for (const [id, { worker }] of model.workers) {
    if (worker.running.size > 8) {
      model.violations.push(`${id} runs ${worker.running.size} tasks`);
    }
  }
}
