import * as v from "valibot";
import type { Resources, Task, TaskRecord } from "../../src/model/mod.ts";

const THROTTLED_SPEED = 0.5;

const payloadSchema = v.object({
  /** How long the task really runs, in milliseconds. */
  runMs: v.optional(v.number()),
  output: v.optional(v.unknown()),
  /** Whether the task fails at its end, or the cause of its failure. */
  fail: v.optional(v.union([v.boolean(), v.string()])),
});

/** A task on a worker, with what is left of it. */
export type Run = {
  record: TaskRecord;
  /** What is left at full speed, in milliseconds; a service has no end. */
  remainingMs: number | undefined;
  throttled: boolean;
  /** When the current stretch began on the steady clock. */
  resumedAtMs: number;
  timer: NodeJS.Timeout | undefined;
};

/** How a task ends when nobody stops it. */
export type Ending =
  | { kind: "finished"; output: unknown }
  | { kind: "failed"; cause: string };

/** Builds a run that has not begun. */
export function createRun(task: Task, nowMs: number): Run {
  return {
    record: { task, state: "running", startedAtMs: nowMs },
    remainingMs: runtimeMs(task),
    throttled: false,
    resumedAtMs: 0,
    timer: undefined,
  };
}

/** Lets a run go on; `end` is called when the task has run its time. */
export function resumeRun(run: Run, end: () => void): void {
  run.resumedAtMs = performance.now();
  if (run.remainingMs === undefined) return;
  run.timer = setTimeout(end, run.remainingMs / speedOf(run));
}

/** Halts a run and keeps what is left of it. */
export function pauseRun(run: Run): void {
  clearTimeout(run.timer);
  run.timer = undefined;
  if (run.remainingMs === undefined) return;
  const ranMs = (performance.now() - run.resumedAtMs) * speedOf(run);
  run.remainingMs = Math.max(0, run.remainingMs - ranMs);
}

/** What a run takes of its worker at present. */
export function usedBy(run: Run): Resources {
  const demand = run.record.task.demand;
  const freed = run.throttled ? freedByThrottle(run).cpuMillis : 0;
  return { ...demand, cpuMillis: demand.cpuMillis - freed };
}

/** What throttling a run frees. */
export function freedByThrottle(run: Run): Resources {
  const demand = run.record.task.demand;
  const cpuMillis = Math.floor(demand.cpuMillis * (1 - THROTTLED_SPEED));
  return { cpuMillis, memoryMb: 0, accelerators: 0 };
}

/** How a task ends by itself, as its payload says. */
export function endingOf(task: Task): Ending {
  const payload = payloadOf(task);
  const fail = payload?.fail ?? false;
  if (fail !== false) {
    const cause = fail === true ? "The task failed." : fail;
    return { kind: "failed", cause };
  }
  const echo = { echo: task.payload };
  return { kind: "finished", output: payload?.output ?? echo };
}

function runtimeMs(task: Task): number | undefined {
  const runMs = payloadOf(task)?.runMs;
  if (task.policy.kind === "service") return runMs;
  return runMs ?? task.durationMs;
}

function payloadOf(
  task: Task,
): v.InferOutput<typeof payloadSchema> | undefined {
  const parsed = v.safeParse(payloadSchema, task.payload);
  return parsed.success ? parsed.output : undefined;
}

function speedOf(run: Run): number {
  return run.throttled ? THROTTLED_SPEED : 1;
}
