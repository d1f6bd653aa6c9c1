/**
 * Embeds the placement core: two workers, a batch of small tasks, and a gang
 * that waits until all of its tasks fit at once.
 *
 * @module
 */
import {
  createPlacement,
  explainTask,
  type Placement,
  type PlacementCommand,
  type Policy,
  type Request,
  stepPlacement,
  type Task,
  taskIdOf,
} from "samphirestage";

const CORE = 1_000;

const startedOn = new Map<string, string>();

const placement = createPlacement({
  preference: "waiting",
  randomness: { integer: (low) => low },
  maxQueuedTasks: 1_000,
});
for (const id of ["worker-1", "worker-2"]) {
  perform(stepPlacement(placement, {
    kind: "workerJoined",
    worker: { id, url: "", zone: "kigali", region: "rwanda", rack: id },
    capacity: {
      resources: { cpuMillis: 4 * CORE, memoryMb: 8_192, accelerators: 0 },
      slots: 8,
      connections: 64,
    },
    token: 1,
    records: [],
  }, 0));
}

const proofs = requestOf("proofs", { kind: "batch" }, 6, 1 * CORE);
const portraits = requestOf(
  "portraits",
  { kind: "gang", holdMs: 30_000 },
  2,
  3 * CORE,
);
submit(placement, proofs, 0);
submit(placement, portraits, 10);
for (const line of explainTask(placement, "portraits/0", 20)) {
  console.log(`portraits/0 ${line}`);
}
for (const task of proofs.tasks) finish(placement, task, 400);

function submit(
  placement: Placement,
  request: Request,
  atMs: number,
): void {
  const { tasks } = request;
  const event = { kind: "submitted", request, tasks } as const;
  perform(stepPlacement(placement, event, atMs));
}

/** Reports the end of a task, as the worker's record tells it. */
function finish(placement: Placement, task: Task, atMs: number): void {
  const worker = startedOn.get(task.id);
  if (worker === undefined) return;
  console.log(`finished ${task.id} on ${worker}`);
  const record = {
    task,
    state: "finished",
    startedAtMs: 0,
    endedAtMs: atMs,
  } as const;
  const event = { kind: "taskChanged", worker, record } as const;
  perform(stepPlacement(placement, event, atMs));
}

/** A driver sends these commands to workers; this one prints them. */
function perform(commands: PlacementCommand[]): void {
  for (const command of commands) {
    switch (command.kind) {
      case "start":
        console.log(`start ${command.task.id} on ${command.worker}`);
        startedOn.set(command.task.id, command.worker);
        break;
      case "offload":
        console.log(`offer ${command.requestId} to peers`);
        break;
      case "replace":
        console.log(`replace ${command.task.id} on ${command.worker}`);
        break;
      default:
        console.log(`${command.kind} ${command.taskId}`);
    }
  }
}

function requestOf(
  id: string,
  policy: Policy,
  count: number,
  cpuMillis: number,
): Request {
  const kind = { customer: "order-desk", agreement: "order-desk", work: id };
  const tasks = Array.from({ length: count }, (_, index): Task => ({
    ...kind,
    id: taskIdOf(id, index),
    requestId: id,
    index,
    count,
    attempt: 1,
    policy,
    urgency: 5,
    idempotent: true,
    demand: { cpuMillis, memoryMb: 512, accelerators: 0 },
    durationMs: 1_000,
  }));
  return { ...kind, id, digest: id, durable: false, acceptedAtMs: 0, tasks };
}
