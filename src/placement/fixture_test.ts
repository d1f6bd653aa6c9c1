import type {
  Policy,
  Request,
  Resources,
  Task,
  TaskRecord,
} from "../model/mod.ts";
import {
  createPlacement,
  type Placement,
  type PlacementCommand,
  stepPlacement,
} from "./mod.ts";

/** What differs from the usual in a submitted request. */
export type Unusual = Partial<Resources> & {
  atMs?: number;
  urgency?: number;
  startByMs?: number;
  idempotent?: boolean;
  agreement?: string;
  durationMs?: number;
  attempt?: number;
};

/** What differs from the usual in a worker that joins. */
export type UnusualWorker = {
  accelerators?: number;
  token?: number;
  records?: TaskRecord[];
};

/** The tasks that commands start, as `task at worker`. */
export function starts(commands: PlacementCommand[]): string[] {
  return commands.flatMap((c) =>
    c.kind === "start" ? [`${c.task.id} at ${c.worker}`] : []
  );
}

/** How many tasks the driver is asked to move, for an offload. */
export function offered(command: PlacementCommand): number | undefined {
  return command.kind === "offload" ? command.taskIds.length : undefined;
}

/** Ends a task on a worker. */
export function end(
  placement: Placement,
  worker: string,
  task: Task,
  state: "finished" | "failed" | "stopped" | "checkpointed",
  atMs: number,
  peak?: Resources,
): PlacementCommand[] {
  const measured = peak === undefined ? {} : { peak };
  const record = { task, state, startedAtMs: 0, endedAtMs: atMs, ...measured };
  return stepPlacement(
    placement,
    { kind: "taskChanged", worker, record },
    atMs,
  );
}

/** A core without workers. */
export function emptyPlacement(): Placement {
  return createPlacement({
    preference: "waiting",
    randomness: { integer: (low) => low },
    maxQueuedTasks: 100,
  });
}

/** A core with the workers w0 and w1 of 4 cores each. */
export function twoWorkers(): Placement {
  const placement = emptyPlacement();
  for (const id of ["w0", "w1"]) join(placement, id);
  return placement;
}

/** Lets a worker join. */
export function join(
  placement: Placement,
  id: string,
  { accelerators = 0, token = 1, records = [] }: UnusualWorker = {},
): PlacementCommand[] {
  return stepPlacement(placement, {
    kind: "workerJoined",
    worker: { id, url: "", zone: "z", region: "r", rack: `rack-${id}` },
    capacity: {
      resources: { cpuMillis: 4000, memoryMb: 4000, accelerators },
      slots: 8,
      connections: 64,
    },
    token,
    records,
  }, 0);
}

/** Confirms the starts among some commands. */
export function confirm(
  placement: Placement,
  commands: PlacementCommand[],
  atMs: number,
): void {
  for (const command of commands) {
    if (command.kind !== "start") continue;
    const { worker, task: { id: taskId } } = command;
    const event = { kind: "startConfirmed", worker, taskId } as const;
    stepPlacement(placement, event, atMs);
  }
}

/** Submits a request of equal tasks. */
export function submit(
  placement: Placement,
  id: string,
  count: number,
  kind: Policy["kind"],
  unusual: Unusual = {},
): PlacementCommand[] {
  const { atMs = 0, startByMs } = unusual;
  const tasks = makeTasks(id, count, kind, unusual);
  const { customer, agreement, work } = tasks[0]!;
  const request: Request = {
    customer,
    agreement,
    work,
    id,
    digest: id,
    durable: false,
    acceptedAtMs: atMs,
    ...(startByMs === undefined ? {} : { startByMs }),
    tasks,
  };
  return stepPlacement(placement, { kind: "submitted", request, tasks }, atMs);
}

/** Builds the tasks of a request. */
export function makeTasks(
  id: string,
  count: number,
  kind: Policy["kind"],
  unusual: Unusual,
): Task[] {
  const policy: Policy = kind === "gang" ? { kind, holdMs: 1000 } : { kind };
  return Array.from({ length: count }, (_, index): Task => ({
    customer: "c",
    agreement: unusual.agreement ?? "c-a",
    work: kind,
    id: `${id}/${index}`,
    requestId: id,
    index,
    count,
    attempt: unusual.attempt ?? 1,
    policy,
    urgency: unusual.urgency ?? 3,
    idempotent: unusual.idempotent ?? true,
    demand: {
      cpuMillis: unusual.cpuMillis ?? 1000,
      memoryMb: unusual.memoryMb ?? 100,
      accelerators: unusual.accelerators ?? 0,
    },
    durationMs: unusual.durationMs ?? 1000,
    payload: undefined,
  }));
}
