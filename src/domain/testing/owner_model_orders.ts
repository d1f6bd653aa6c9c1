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
import { jobKey } from "../record_keys.ts";
import { findTask } from "../step_run.ts";
import type { StartAnswer } from "../worker_report.ts";
import { feedEvent } from "./domain_bench.ts";
import {
  acknowledgeFailedRuns,
  recordRestart,
} from "./owner_model_failures.ts";
import { checkCapacity } from "./owner_model_capacity.ts";
import { crashUnder, noticeCrash } from "./owner_model_crashes.ts";
import { checkKind } from "./owner_model_kinds.ts";
import {
  attemptKey,
  confirmExpiredStart,
  executeUnanswered,
  giveUpStart,
  reportUnanswered,
} from "./owner_model_unanswered.ts";
import type {
  Model,
  PendingOrder,
  SimulatedWorker,
} from "./owner_model_state.ts";

/** Duration of a lease in the simulation, in milliseconds. */
export const LEASE_MS = 5_500;
/** The longest time between two steps of the simulation, in milliseconds. */
export const MAX_TIME_STEP_MS = 250;

/** Acknowledges the stored ends of a worker. */
export function acknowledgeEnds(
  model: Model,
  command: Extract<DomainCommand, { kind: "acknowledge" }>,
): void {
  const simulated = model.workers.get(command.worker);
  if (simulated === undefined || simulated.worker.bornMs !== command.bornMs) {
    return;
  }
  simulated.acknowledged = command.lastEnd;
  acknowledgeFailedRuns(model, simulated, command.lastEnd);
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
  model.startExpiries.set(attemptKey(order), untilMs);
  return untilMs;
}

/** Queues an order for delivery at once or late, and sometimes once more. */
export function sendOrder(model: Model, order: WorkerOrder): void {
  const { random, bench, epoch } = model;
  if (!isStillValid(model, order) || isBeingSent(model, order)) return;
  const lateMs = random.integer(0, 5) === 0 ? random.integer(0, 4_000) : 0;
  const bornMs = model.workers.get(order.worker)?.worker.bornMs ?? 0;
  const dueAtMs = bench.nowMs + lateMs;
  const deadlineMs = grantLease(model, order);
  const isSent = recordSending(model, order);
  const pending = {
    order,
    epoch,
    bornMs,
    isInformed: isInformed(model, order),
    dueAtMs,
    deadlineMs,
    isSent,
    isDuplicate: false,
    isLinkLost: false,
    isExecutedUnanswered: false,
    firstSentAtMs: bench.nowMs,
    tries: 1,
  };
  model.orders.push(pending);
  if (!isSent || random.integer(0, 5) > 0) return;
  model.orders.push({
    ...pending,
    isDuplicate: true,
    dueAtMs: bench.nowMs + random.integer(0, 4_000),
  });
}

/** Whether a link still repeats an order to stop the same attempt. */
function isBeingSent(model: Model, order: WorkerOrder): boolean {
  return order.kind === "stop" &&
    model.orders.some((pending) =>
      pending.order.kind === "stop" && pending.order.worker === order.worker &&
      attemptKey(pending.order) === attemptKey(order) &&
      isAwaited(model, pending)
    );
}

/** Delivers an order to its worker and applies the answer. */
export function deliverOrder(model: Model, pending: PendingOrder): void {
  const { bench } = model;
  const { order, epoch } = pending;
  const simulated = model.workers.get(order.worker);
  if (simulated === undefined) return;
  const { bornMs } = simulated.worker;
  const isForEarlierIncarnation = pending.isSent && bornMs !== pending.bornMs;
  // A link does not repeat a start at another incarnation.
  if (isForEarlierIncarnation && order.kind === "start") return;
  if (isForEarlierIncarnation || simulated.isPartitioned || !pending.isSent) {
    resendOrder(model, { ...pending, bornMs });
    return;
  }
  if (simulated.ignoresOrders && !pending.isExecutedUnanswered) {
    executeUnanswered(model, pending);
    if (!isAwaited(model, pending)) return;
    reportUnanswered(model, pending);
    confirmExpiredStart(model, pending);
    resendOrder(model, pending);
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
    checkStartAllowed(model, simulated.worker.id, order);
    // A start may reach a new incarnation that its owner can't know of.
    if (!model.hasChangingKinds || pending.isInformed) {
      model.unsuitableStarts.push(
        ...checkCapacity(model, simulated),
        ...checkKind(model, simulated, order),
      );
    }
  }
  if (simulated.worker.hasCrashed) {
    noticeCrash(model, simulated, order);
    crashUnder(model, simulated, order.task);
    return;
  }
  if (epoch !== model.epoch || pending.isLinkLost) return;
  if (pending.isExecutedUnanswered) return;
  if (order.kind === "stop") {
    if (answer.status !== 200) return;
    model.execute(
      feedEvent(bench, { ...order, kind: "stopConfirmed" }),
    );
    return;
  }
  if (!pending.isDuplicate) simulated.unansweredStarts.delete(order);
  model.execute(feedEvent(bench, {
    ...order,
    kind: "startAnswered",
    answer: toStartAnswer(answer),
  }));
}

/** Queues an unanswered order again if it is still valid, as an owner does. */
function resendOrder(model: Model, pending: PendingOrder): void {
  const { order } = pending;
  if (!isAwaited(model, pending)) return;
  if (!isStillValid(model, order) || giveUpStart(model, pending)) return;
  const isSent = recordSending(model, order);
  model.orders.push({
    ...pending,
    isInformed: isInformed(model, order),
    isSent: pending.isSent || isSent,
    tries: pending.tries + 1,
    dueAtMs: model.bench.nowMs + MAX_TIME_STEP_MS,
    deadlineMs: grantLease(model, order),
  });
}

/** Whether the present owner waits for the answer to an order. */
function isAwaited(model: Model, pending: PendingOrder): boolean {
  const { epoch, isDuplicate, isLinkLost, isExecutedUnanswered } = pending;
  return epoch === model.epoch && !isDuplicate && !isLinkLost &&
    !isExecutedUnanswered;
}

/** Records that an order leaves; false if its worker does not answer. */
function recordSending(model: Model, order: WorkerOrder): boolean {
  const simulated = model.workers.get(order.worker);
  if (simulated === undefined || simulated.isPartitioned) return false;
  if (order.kind === "start") simulated.unansweredStarts.add(order);
  return true;
}

/**
 * Whether an owner has been told of the present incarnation of a worker, by a
 * report or by an entry of the list, when an order leaves.
 */
function isInformed(model: Model, { worker }: WorkerOrder): boolean {
  const simulated = model.workers.get(worker);
  return simulated?.noticedBornMs === simulated?.worker.bornMs;
}

/** Whether an order still applies, as an owner checks before it sends it. */
function isStillValid(model: Model, order: WorkerOrder): boolean {
  const found = findTask(model.bench.domain, order.task);
  const task = found?.run.tasks[found.index];
  const isPlaced = task?.kind === "placed" && task.worker === order.worker &&
    task.attempt === order.attempt;
  return order.kind === "start"
    ? isPlaced && task.phase.kind === "starting"
    : !isPlaced || task.phase.kind === "stopping";
}

function toStartAnswer(answer: StandInResponse): StartAnswer {
  if (answer.status === 200) return { kind: "accepted" };
  const { reason } = answer.body as { reason: string };
  if (reason !== "late") return { kind: "superseded" };
  return { kind: "rejected", cause: "late", earlierUnknown: true };
}

/**
 * Records a violation if a task starts after its end was acknowledged, while
 * another worker with a valid lease runs it, before the predecessors of its step
 * are done, before its job is stored, or under a number that another worker has
 * seen.
 */
function checkStartAllowed(
  model: Model,
  worker: string,
  order: WorkerOrder,
): void {
  const { task } = order;
  checkOrder(model, task);
  recordRestart(model, task);
  const key = attemptKey(order);
  const startedOn = model.startedAttempts.get(key) ?? worker;
  model.startedAttempts.set(key, startedOn);
  if (startedOn !== worker) {
    model.violations.push(
      `${key} started on ${startedOn} and ${worker}`,
    );
  }
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

function checkOrder(model: Model, task: string): void {
  const [job = "", , index] = task.split(".");
  if (!model.bench.store.has(jobKey(job))) {
    model.violations.push(`${task} started before its job was stored`);
  }
  const first = model.firstSteps.get(job);
  if (index === "0" || first === undefined) return;
  const names = Array.from(
    { length: first.taskCount },
    (_, position) => `${job}.0.0.${position}`,
  );
  const isDone = (name: string) => model.doneTasks.has(name);
  if (first.gang ? names.some(isDone) : names.every(isDone)) return;
  model.violations.push(`${task} started before its predecessors were done`);
}

function isLeased(model: Model, simulated: SimulatedWorker): boolean {
  return simulated.worker.leaseUntilMs >= model.bench.nowMs;
}
