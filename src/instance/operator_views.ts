/**
 * What operators are shown of an instance.
 *
 * @module
 */
import { heardMembers, holderOf, memberState } from "../membership/mod.ts";
import type { Resources } from "../model/mod.ts";
import { explainTask, placementLoad, workerUsage } from "../placement/mod.ts";
import type { HeldWorker } from "./held_worker.ts";
import { homeOf } from "./report_flow.ts";
import type { Progress, TaskEntry } from "./request_entry.ts";
import { type Scheduler, selfHolder } from "./scheduler.ts";

/** A peer as an instance sees it. */
export type MemberView = {
  id: string;
  incarnation: string;
  zone: string;
  url: string;
  state: string;
  /** Version of the manifest in force there. */
  version: number;
};

/** The state of an instance. */
export type StatusView = {
  instance: string;
  incarnation: string;
  zone: string;
  url: string;
  ready: boolean;
  /** Version of the manifest in force; -1 for none. */
  version: number;
  members: MemberView[];
  barred: string[];
  workers: number;
  queued: number;
  running: number;
  logReachable: boolean;
  leaving: boolean;
};

/** A worker of the zone. */
export type WorkerView = {
  id: string;
  zone: string;
  rack: string;
  state: "held" | "silent" | "leaving" | "elsewhere";
  token: number | undefined;
  tasks: number;
  used: Resources | undefined;
  capacity: Resources | undefined;
};

/** A task that an instance answers for or runs for a peer. */
export type TaskView = {
  id: string;
  customer: string;
  agreement: string;
  work: string;
  state: Progress["kind"];
  worker: string | undefined;
  waitedMs: number;
};

/** Tells whether the instance can take callers' work. */
export function isReady(scheduler: Scheduler): boolean {
  return scheduler.log.manifest !== undefined && !scheduler.draining;
}

/** Shows the state of the instance. */
export function statusOf(scheduler: Scheduler): StatusView {
  const { self, membership } = scheduler;
  const load = placementLoad(scheduler.placement);
  return {
    instance: self.id,
    incarnation: self.incarnation,
    zone: self.zone,
    url: self.url,
    ready: isReady(scheduler),
    version: scheduler.log.version,
    members: heardMembers(membership).map(({ instance, heartbeat }) => ({
      id: instance.id,
      incarnation: instance.incarnation,
      zone: instance.zone,
      url: instance.url,
      state: memberState(membership, holderOf(instance)),
      version: heartbeat.version,
    })),
    barred: [...membership.bars.keys()],
    workers: scheduler.held.size,
    queued: load.queued,
    running: load.running,
    logReachable: scheduler.logReachable,
    leaving: scheduler.draining,
  };
}

/** Shows the workers of the zone. */
export function workersOf(scheduler: Scheduler): WorkerView[] {
  return [...scheduler.workers.values()].map(({ address }) => {
    const held = scheduler.held.get(address.id);
    const running = [...held?.records.values() ?? []]
      .filter((record) => record.state === "running");
    return {
      id: address.id,
      zone: address.zone,
      rack: address.rack,
      state: stateOf(held),
      token: held?.token,
      tasks: running.length,
      used: held && workerUsage(scheduler.placement, address.id),
      capacity: held?.capacity.resources,
    };
  });
}

/** Shows the tasks that the instance answers for or runs for a peer. */
export function tasksOf(scheduler: Scheduler): TaskView[] {
  const views: TaskView[] = [];
  for (const entry of scheduler.requests.values()) {
    for (const task of entry.tasks.values()) {
      const { id, customer, agreement, work } = task.task;
      const state = task.progress.kind;
      if (state === "ended" || state === "returned") continue;
      const waitedMs = scheduler.moment.wallMs - entry.request.acceptedAtMs;
      const worker = workerOf(task);
      views.push({ id, customer, agreement, work, state, worker, waitedMs });
    }
  }
  return views;
}

/** Explains in short lines where a request stands, and why. */
export function explainRequest(
  scheduler: Scheduler,
  requestId: string,
): string[] {
  const lines: string[] = [];
  const home = homeOf(scheduler, requestId);
  const here = home === selfHolder(scheduler) ? " (this instance)" : "";
  const state = here === "" ? memberState(scheduler.membership, home) : "live";
  lines.push(`home ${home}${here} is ${state}`);
  const entry = scheduler.requests.get(requestId);
  if (entry === undefined) lines.push("not known to this instance");
  for (const task of entry?.tasks.values() ?? []) {
    lines.push(...explainEntry(scheduler, task));
  }
  if (entry?.outcome !== undefined) lines.push(`outcome ${entry.outcome.kind}`);
  return lines;
}

function explainEntry(scheduler: Scheduler, entry: TaskEntry): string[] {
  const { task, progress } = entry;
  const prefix = `task ${task.index} attempt ${task.attempt}`;
  switch (progress.kind) {
    case "queued":
    case "starting":
    case "running": {
      const { wallMs } = scheduler.moment;
      const reasons = explainTask(scheduler.placement, task.id, wallMs);
      return reasons.map((reason) => `${prefix} ${reason}`);
    }
    case "away":
      return [
        `${prefix} was sent to ${progress.worker}, held elsewhere since`,
      ];
    case "moved":
      return [`${prefix} was moved to ${progress.guest}`];
    case "returned":
      return [`${prefix} was handed back to its home`];
    case "ended":
      return [`${prefix} ended: ${progress.outcome.kind}`];
  }
}

function stateOf(held: HeldWorker | undefined): WorkerView["state"] {
  if (held === undefined) return "elsewhere";
  if (!held.reachable) return "silent";
  return held.leaving ? "leaving" : "held";
}

function workerOf(entry: TaskEntry): string | undefined {
  const { progress } = entry;
  switch (progress.kind) {
    case "starting":
    case "running":
    case "away":
      return progress.worker;
    default:
      return undefined;
  }
}
