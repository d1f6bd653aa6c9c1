/**
 * The load of the owner benchmark: three kinds of jobs on one service, as in a
 * deployment with one large service.
 *
 * @module
 */
import type { WorkerConfig } from "../platform/platform.ts";

const SERVICE = "ledger";
const HOST = "desk.example";
const WORKERS_PER_RACK = 8;
const WORKER_CPU_MILLIS = 16_000;
const WORKER_MEMORY_MB = 32_000;

/** Shape and submission rate of one kind of job. */
export type JobKind = {
  queue: string;
  ratePerSecond: number;
  /** Tasks per step. */
  tasks: number;
  /** Steps, each of which depends on the one before. */
  steps: number;
  /** Run time of a task, in milliseconds. */
  durationMs: number;
  cpuMillis: number;
  memoryMb: number;
};

/** The job kinds; together they cause 560 task starts per second. */
export const JOB_KINDS: JobKind[] = [
  {
    queue: "checks",
    ratePerSecond: 70,
    tasks: 3,
    steps: 1,
    durationMs: 800,
    cpuMillis: 2_500,
    memoryMb: 4_600,
  },
  {
    queue: "sweeps",
    ratePerSecond: 7.8,
    tasks: 20,
    steps: 2,
    durationMs: 2_200,
    cpuMillis: 1_200,
    memoryMb: 1_800,
  },
  {
    queue: "tallies",
    ratePerSecond: 2,
    tasks: 19,
    steps: 1,
    durationMs: 6_200,
    cpuMillis: 2_000,
    memoryMb: 2_500,
  },
];

/** Builds the operators' configuration, in the platform's format. */
export function buildConfiguration(kinds: JobKind[]): object {
  return {
    version: 1,
    routes: kinds.map(({ queue }, priority) => ({
      name: queue,
      host: HOST,
      prefix: `/${queue}/`,
      service: SERVICE,
      priority,
      attempts: 3,
      slack_factor: 1.5,
      target_completion_ms: 500,
      hint: { decide_ms: 2, per_item_ms: 0.02, valid_ms: 2_000 },
    })),
  };
}

/** Builds the workers of the service, eight per rack. */
export function buildWorkerConfigs(count: number): WorkerConfig[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `worker-${index}`,
    service: SERVICE,
    zone: "a",
    rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
    capacity: {
      cpuMillis: WORKER_CPU_MILLIS,
      memoryMb: WORKER_MEMORY_MB,
      accelerators: 0,
    },
  }));
}

/** Builds the body of a submission, in the platform's format. */
export function buildSubmissionBody(kind: JobKind): string {
  const phases = Array.from({ length: kind.steps }, (_, index) => ({
    count: kind.tasks,
    cpu: kind.cpuMillis,
    mem_mb: kind.memoryMb,
    estimate_ms: kind.durationMs,
    ...(index === 0 ? {} : { after: [index - 1] }),
  }));
  return JSON.stringify({ spec: String(kind.durationMs), phases });
}

/** Parses the run time of a task from its specification, in milliseconds. */
export function parseDurationMs(specification: string): number {
  return Number(specification);
}

/** Builds the path and the headers of a request about a job. */
export function jobRequestOptions(kind: JobKind, id: string): {
  path: string;
  headers: Record<string, string>;
} {
  return { path: `/${kind.queue}/${id}`, headers: { host: HOST } };
}
