/**
 * Drives a scheduler: folds one `most` stream of events over its reducer and
 * carries the commands out.
 *
 * @module
 */
import { EventEmitter } from "node:events";
import { fromEvent } from "most";
import { assertNever } from "../base/mod.ts";
import {
  type Call,
  type Effect,
  type Scheduler,
  type SchedulerCommand,
  type SchedulerEvent,
  step,
} from "../instance/mod.ts";
import { createGroupCommit, type GroupCommit } from "../log_state/mod.ts";
import { observeLamport } from "../time_line/mod.ts";
import type { HostSet } from "./host_set.ts";

/** A running scheduler. */
export type Driver = {
  /** Puts a call in and waits for its answer. */
  call(call: Call): Promise<unknown>;
  /** Begins the planned stop. */
  drain(): void;
  /** Resolves when the driver stops; rejects if the reducer failed. */
  done: Promise<void>;
};

type Running = {
  scheduler: Scheduler;
  hosts: HostSet;
  signal: AbortSignal;
  /** Joins the appends of this process into batches. */
  groupCommit: GroupCommit;
  events: EventEmitter;
  /** Ends the timers of effects that were abandoned. */
  timers: Map<number, AbortController>;
  answers: Map<number, (answer: unknown) => void>;
  nextCall: number;
};

/**
 * Starts driving a scheduler.
 *
 * @example
 * ```ts
 * const driver = startDriver(scheduler, hosts, signal);
 * const answer = await driver.call({ kind: "issue", customer: "press" });
 * ```
 *
 * @param signal ends every effect; nothing is carried out after it
 */
export function startDriver(
  scheduler: Scheduler,
  hosts: HostSet,
  signal: AbortSignal,
): Driver {
  const running: Running = {
    scheduler,
    hosts,
    signal,
    groupCommit: createGroupCommit({
      log: hosts.log,
      clock: hosts.clock,
      signal,
    }),
    events: new EventEmitter(),
    timers: new Map(),
    answers: new Map(),
    nextCall: 1,
  };
  const done = fromEvent<SchedulerEvent>("event", running.events)
    .loop((state: Scheduler, event) => ({
      seed: state,
      value: step(state, event, {
        steadyMs: hosts.clock.steadyMs(),
        wallMs: hosts.clock.nowMs(),
      }),
    }), scheduler)
    .observe((commands: SchedulerCommand[]) => {
      for (const command of commands) carryOut(running, command);
    });
  signal.addEventListener("abort", () => {
    for (const timer of running.timers.values()) timer.abort();
  }, { once: true });
  emit(running, { kind: "started" });
  return {
    call(call) {
      const id = running.nextCall++;
      return new Promise((resolve) => {
        running.answers.set(id, resolve);
        emit(running, { kind: "called", id, call });
      });
    },
    drain: () => emit(running, { kind: "draining" }),
    done,
  };
}

function emit(running: Running, event: SchedulerEvent): void {
  if (!running.signal.aborted) running.events.emit("event", event);
}

function carryOut(running: Running, command: SchedulerCommand): void {
  switch (command.kind) {
    case "perform":
      perform(running, command.number, command.effect);
      break;
    case "abandon":
      running.timers.get(command.number)?.abort();
      break;
    case "answer": {
      const resolve = running.answers.get(command.id);
      running.answers.delete(command.id);
      resolve?.(command.answer);
      break;
    }
    default:
      assertNever(command);
  }
}

async function perform(
  running: Running,
  number: number,
  effect: Effect,
): Promise<void> {
  const result = await resultOf(running, number, effect);
  emit(running, { kind: "completed", effect: number, result });
}

function resultOf(
  running: Running,
  number: number,
  effect: Effect,
): Promise<unknown> {
  const { hosts, signal } = running;
  switch (effect.kind) {
    case "sleep":
      return sleep(running, number, effect.delayMs);
    case "notice":
      return sleep(running, number, effect.timeoutMs);
    case "acquire":
      return hosts.workers.acquire(effect.worker, effect.command, signal);
    case "renew":
      return hosts.workers.renew(effect.worker, effect.command, signal);
    case "start":
      return hosts.workers.start(
        effect.worker,
        effect.token,
        effect.task,
        signal,
      );
    case "yield":
      return hosts.workers.yieldTask(
        effect.worker,
        effect.token,
        effect.taskId,
        effect.yielding,
        signal,
      );
    case "peer":
      return callPeer(running, effect);
    case "append":
      return running.groupCommit.append(effect.record, signal);
    case "readLog":
      return hosts.log.read(effect.fromOffset, effect.waitMs, signal);
    case "readList":
      return hosts.list.read(signal);
    default:
      return assertNever(effect);
  }
}

async function sleep(
  running: Running,
  number: number,
  delayMs: number,
): Promise<void> {
  const timer = new AbortController();
  running.timers.set(number, timer);
  await running.hosts.clock.sleep(delayMs, timer.signal);
  running.timers.delete(number);
}

/** Calls a peer; the Lamport clock travels with the message and the answer. */
async function callPeer(
  running: Running,
  effect: Extract<Effect, { kind: "peer" }>,
): Promise<unknown> {
  const { timeLine } = running.scheduler;
  const { kind } = effect.message;
  const params = { lamport: timeLine.lamport, message: effect.message };
  const result = await running.hosts.callPeer(
    effect.url,
    kind,
    params,
    effect.timeoutMs,
    running.signal,
  );
  return result.map((value) => {
    const answer = value as { lamport?: number; answer?: unknown } | null;
    observeLamport(timeLine, Number(answer?.lamport ?? 0));
    return answer?.answer;
  });
}
