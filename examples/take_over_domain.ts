/**
 * Runs a scheduling domain through the library. An owner accepts a job, starts
 * two of its tasks and is lost. The next owner restores the domain from the
 * stored records, and starts tasks only after the worker has reported what it
 * runs.
 *
 * @module
 */
import { domain } from "samphirestage";

const WORKER: domain.WorkerListing = {
  id: "kigali-desk-1",
  service: "desk",
  address: "10.1.0.21:7001",
  zone: "kigali",
  rack: "r1",
  labels: [],
  capacity: { cpuMillis: 2_000, memoryMb: 4_096, accelerators: 0 },
  draining: false,
  bornMs: 1,
};
const REQUEST: domain.JobRequest = {
  id: "5c0e7a21d94b36f8",
  specification: "print 3 cards",
  steps: [{
    taskCount: 3,
    demand: { cpuMillis: 1_000, memoryMb: 512, accelerators: 0 },
    estimateMs: 400,
    after: [],
    gang: false,
    colocated: false,
    longRunning: false,
    opportunistic: false,
    checkpointed: false,
  }],
};
const POLICY: domain.QueuePolicy = {
  queue: "proofs",
  service: "desk",
  priority: 0,
  maxAttempts: 3,
  slackFactor: 2,
  targetCompletionMs: 500,
};
const OPTIONS = { endedJobKeepMs: 120_000 };

const store = new Map<string, string>();
let nowMs = 0;

const first = domain.createDomain(OPTIONS);
console.log("The first owner");
applyEvent(first, { kind: "workersListed", workers: [WORKER] });
reportRunningTasks(first, []);
applyEvent(first, {
  kind: "submitted",
  call: 1,
  request: REQUEST,
  policy: POLICY,
});

nowMs += 1_000;
const second = domain.createDomain(OPTIONS);
const records = [...store].map(([key, value]) => ({ key, value }));
domain.restoreDomain(second, records, nowMs);
console.log("The second owner, before the worker has reported");
applyEvent(second, { kind: "workersListed", workers: [WORKER] });
console.log("The second owner, after the worker reported one running task");
reportRunningTasks(second, ["5c0e7a21d94b36f8.0.0.0"]);

/** Applies an event, and stores the records before printing the commands. */
function applyEvent(state: domain.Domain, event: domain.DomainEvent): void {
  const moment = { steadyMs: nowMs, wallMs: 1_796_265_600_000 + nowMs };
  const commands = [
    ...domain.applyDomainEvent(state, event, moment),
    ...domain.scheduleDomain(state, moment),
  ];
  for (const { key, value } of domain.drainDirtyRecords(state)) {
    if (value === undefined) store.delete(key);
    else store.set(key, value);
  }
  for (const command of commands) {
    if (command.kind !== "order" || command.order.kind !== "start") continue;
    const { task, attempt, worker } = command.order;
    console.log(`  starts ${task}, attempt ${attempt}, on ${worker}`);
  }
}

function reportRunningTasks(state: domain.Domain, tasks: string[]): void {
  const running = tasks.map((task) => ({
    task,
    attempt: 1,
    checkpoint: "",
    percent: 1,
    reading: 0,
  }));
  applyEvent(state, {
    kind: "looked",
    worker: WORKER.id,
    look: { bornMs: 1, running, ended: [], sentAtMs: nowMs },
  });
}
