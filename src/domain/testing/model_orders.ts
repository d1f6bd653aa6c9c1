/**
 * Orders of the model: they arrive now, late, twice or never.
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
import { findTask } from "../looks.ts";
import type { StartAnswer } from "../worker_report.ts";
import { feed } from "./domain_bench.ts";
import type { Model, ModelWorker, PendingOrder } from "./model_state.ts";

/** The longest lease of the model, in milliseconds. */
export const LEASE_MS = 5_500;
/** The longest step of time, in milliseconds. */
export const MAX_STEP_MS = 250;

/** Carries out what the domain asks for. */
export function act(model: Model, commands: DomainCommand[]): void {
  for (const command of commands) {
    if (command.kind === "order") send(model, command.order);
    if (command.kind === "acknowledge") acknowledge(model, command);
  }
}

function acknowledge(
  model: Model,
  command: Extract<DomainCommand, { kind: "acknowledge" }>,
): void {
  const held = model.workers.get(command.worker);
  if (held === undefined || held.worker.bornMs !== command.bornMs) return;
  held.acknowledged = command.lastEnd;
  for (const [number, task, , how] of held.worker.endedRuns) {
    const counts = number <= command.lastEnd && !held.lapsedEnds.has(number);
    if (counts && how === "done") model.noted.add(task);
  }
}

/** A start grants a lease when it is sent, whenever it arrives. */
function grant(model: Model, order: WorkerOrder): number {
  const held = model.workers.get(order.worker);
  const untilMs = model.bench.nowMs + LEASE_MS;
  if (held === undefined || held.isCut || order.kind !== "start") {
    return model.bench.nowMs;
  }
  held.leaseUntilMs = Math.max(held.leaseUntilMs, untilMs);
  return untilMs;
}

/** An order arrives now, late, or twice. */
function send(model: Model, order: WorkerOrder): void {
  const { random, bench, epoch } = model;
  const lateMs = random.integer(0, 5) === 0 ? random.integer(0, 4_000) : 0;
  const bornMs = model.workers.get(order.worker)?.worker.bornMs ?? 0;
  const dueAtMs = bench.nowMs + lateMs;
  const deadlineMs = grant(model, order);
  const pending = {
    order,
    epoch,
    bornMs,
    dueAtMs,
    deadlineMs,
    isCopy: false,
    isOrphaned: false,
  };
  model.orders.push(pending);
  if (random.integer(0, 5) > 0) return;
  model.orders.push({
    ...pending,
    isCopy: true,
    dueAtMs: bench.nowMs + random.integer(0, 4_000),
  });
}

export function deliver(model: Model, pending: PendingOrder): void {
  const { bench } = model;
  const { order, epoch } = pending;
  const held = model.workers.get(order.worker);
  if (held === undefined) return;
  const { bornMs } = held.worker;
  if (bornMs !== pending.bornMs || held.isCut) {
    repeat(model, { ...pending, bornMs });
    return;
  }
  const startedBefore = held.worker.started.length;
  const answer = handleCommand(
    held.worker,
    order.kind === "start" ? COMMAND_PATHS.start : COMMAND_PATHS.stop,
    startOrStopCommand({
      task: order.task,
      attempt: order.attempt,
      epoch,
      leaseUntilMs: order.kind === "start" ? pending.deadlineMs : undefined,
    }),
    bench.nowMs,
  );
  if (held.worker.started.length > startedBefore) {
    checkStart(model, held.worker.id, order.task);
  }
  if (epoch !== model.epoch || pending.isOrphaned) return;
  if (order.kind === "stop") {
    if (answer.status !== 200) return;
    act(model, feed(bench, { ...order, kind: "stopConfirmed" }));
    return;
  }
  act(
    model,
    feed(bench, {
      ...order,
      kind: "startAnswered",
      answer: answerOf(answer),
    }),
  );
}

/** The owner repeats an order that still holds until the worker answers. */
function repeat(model: Model, pending: PendingOrder): void {
  const { order, epoch, isCopy, isOrphaned } = pending;
  if (isCopy || isOrphaned || epoch !== model.epoch) return;
  const found = findTask(model.bench.domain, order.task);
  const task = found?.run.tasks[found.index];
  const isPlaced = task?.kind === "placed" && task.worker === order.worker &&
    task.attempt === order.attempt;
  const holds = order.kind === "start"
    ? isPlaced && task.phase.kind === "starting"
    : !isPlaced || task.phase.kind === "stopping";
  if (!holds) return;
  model.orders.push({
    ...pending,
    dueAtMs: model.bench.nowMs + MAX_STEP_MS,
    deadlineMs: grant(model, order),
  });
}

function answerOf(answer: StandInResponse): StartAnswer {
  if (answer.status === 200) return { kind: "accepted" };
  const { reason } = answer.body as { reason: string };
  if (reason !== "late") return { kind: "superseded" };
  return { kind: "rejected", cause: "late", earlierUnknown: true };
}

function checkStart(model: Model, worker: string, task: string): void {
  if (model.noted.has(task)) {
    model.broken.push(`${task} started again after its end was noted`);
  }
  for (const [id, held] of model.workers) {
    if (
      id !== worker && held.worker.running.has(task) && isLeased(model, held)
    ) {
      model.broken.push(`${task} runs on ${id} and ${worker}`);
    }
  }
}

function isLeased(model: Model, held: ModelWorker): boolean {
  return held.worker.leaseUntilMs >= model.bench.nowMs;
}

/** No worker runs more than it can hold: 8 tasks of one core and 1 GB. */
export function checkWorkers(model: Model): void {
  for (const [id, { worker }] of model.workers) {
    if (worker.running.size > 8) {
      model.broken.push(`${id} runs ${worker.running.size} tasks`);
    }
  }
}
