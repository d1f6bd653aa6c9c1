/**
 * Carries out the effects of schedulers against the fakes: every call may be
 * cut, lost before or after its effect, late, or made twice.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { diagnostics } from "../../diagnostics/mod.ts";
import type { Fault, FaultKind } from "../../hosts/mod.ts";
import type { Effect } from "../effect.ts";
import type { PeerMessage } from "../peer_message.ts";
import { appendEntry, readEntries, readOldList } from "./fake_platform.ts";
import {
  acquire,
  extend,
  type FakeWorker,
  renew,
  settleWorker,
  start,
  START_MS,
  yieldTask,
} from "./fake_worker.ts";
import { checkStart } from "./model_checks.ts";
import {
  callProcess,
  later,
  type ModelCluster,
  type ModelProcess,
} from "./model_cluster.ts";

/** Time-out of a command to a worker, in milliseconds. */
const COMMAND_TIMEOUT_MS = 400;
/** Time-out of an append, in milliseconds. */
const APPEND_TIMEOUT_MS = 600;
/** How long a call may be late beyond its time-out, in milliseconds. */
const MAX_LATENESS_MS = 1_500;
/** The node name of the platform. */
export const PLATFORM = "platform";

type Reply = (result: Result<unknown, Fault>) => void;
type Done = (result: unknown) => void;
type Rpc = {
  from: string;
  to: string;
  timeoutMs: number;
  serve: (reply: Reply) => void;
};
type Fate = "good" | "lostBefore" | "lostAfter" | "late" | "twice" | "slow";

const FATES = ["lostBefore", "lostAfter", "late", "twice", "slow"] as const;

/** Carries out an effect. */
export function performEffect(
  cluster: ModelCluster,
  process: ModelProcess,
  effect: Effect,
  done: Done,
): void {
  const from = process.instance.id;
  switch (effect.kind) {
    case "sleep":
      return later(cluster, effect.delayMs, () => done(undefined));
    case "notice":
      return later(cluster, effect.timeoutMs, () => done(undefined));
    case "acquire":
    case "start":
    case "yield":
    case "renew": {
      const to = effect.worker.id;
      const waitMs = effect.kind === "renew" ? effect.command.waitMs : 0;
      const timeoutMs = waitMs + COMMAND_TIMEOUT_MS;
      const serve = (reply: Reply) => serveWorker(cluster, effect, reply);
      return call(cluster, { from, to, timeoutMs, serve }, done);
    }
    case "peer": {
      const { url, timeoutMs } = effect;
      const to = url.slice("http://".length);
      const text = JSON.stringify(effect.message);
      const serve = (reply: Reply) => servePeer(cluster, to, text, reply);
      return call(cluster, { from, to, timeoutMs, serve }, done);
    }
    case "append": {
      const { record } = effect;
      const serve = (reply: Reply) => {
        const atMs = START_MS + cluster.nowMs;
        if (cluster.platform.logDown) return;
        reply(ok(appendEntry(cluster.platform, record, atMs)));
      };
      const timeoutMs = APPEND_TIMEOUT_MS;
      return call(cluster, { from, to: PLATFORM, timeoutMs, serve }, done);
    }
    case "readLog": {
      const serve = (reply: Reply) => serveLog(cluster, effect, reply);
      const timeoutMs = effect.waitMs + APPEND_TIMEOUT_MS;
      return call(cluster, { from, to: PLATFORM, timeoutMs, serve }, done);
    }
    case "readList": {
      const serve = (reply: Reply) => {
        const asOfMs = START_MS + cluster.nowMs - process.listLagMs;
        reply(ok(readOldList(cluster.platform, asOfMs)));
      };
      const timeoutMs = APPEND_TIMEOUT_MS;
      return call(cluster, { from, to: PLATFORM, timeoutMs, serve }, done);
    }
  }
}

function call(cluster: ModelCluster, rpc: Rpc, done: Done): void {
  const fate = chooseFate(cluster);
  let isDone = false;
  const finish = (result: Result<unknown, Fault>) => {
    if (isDone) return;
    isDone = true;
    done(result);
  };
  later(cluster, rpc.timeoutMs, () => finish(fault(rpc, "unknown")));
  if (isCut(cluster, rpc.from, rpc.to) || fate === "lostBefore") {
    if (chance(cluster, 50)) {
      later(cluster, 2, () => finish(fault(rpc, "unsent")));
    }
    return;
  }
  later(cluster, requestDelayMs(cluster, rpc, fate), () => {
    rpc.serve((result) => {
      if (isCut(cluster, rpc.to, rpc.from) || fate === "lostAfter") return;
      later(cluster, between(cluster, 1, 4), () => finish(result));
    });
  });
  if (fate !== "twice") return;
  later(cluster, between(cluster, 1, MAX_LATENESS_MS), () => {
    rpc.serve(() => {});
  });
}

function serveWorker(
  cluster: ModelCluster,
  effect: Extract<Effect, { kind: "acquire" | "start" | "yield" | "renew" }>,
  reply: Reply,
): void {
  const id = effect.worker.id;
  const worker = cluster.workers.find((each) => each.address.id === id);
  if (worker === undefined || !worker.alive) return;
  const { nowMs } = cluster;
  switch (effect.kind) {
    case "acquire":
      return reply(acquire(worker, effect.command, nowMs));
    case "start":
      return reply(serveStart(cluster, worker, effect));
    case "yield": {
      const { token, taskId, yielding } = effect;
      return reply(yieldTask(worker, token, taskId, yielding, nowMs));
    }
    case "renew": {
      const { command } = effect;
      const refusal = extend(worker, command, nowMs);
      if (refusal !== undefined) return reply(err(refusal));
      const { boot } = worker;
      return later(cluster, command.waitMs, () => {
        if (!worker.alive || worker.boot !== boot) return;
        reply(renew(worker, command, cluster.nowMs));
      });
    }
  }
}

function serveStart(
  cluster: ModelCluster,
  worker: FakeWorker,
  effect: Extract<Effect, { kind: "start" }>,
): Result<unknown, Fault> {
  const task = copy(effect.task) as typeof effect.task;
  for (const each of cluster.workers) settleWorker(each, cluster.nowMs);
  return start(worker, effect.token, task, cluster.nowMs).map((answer) => {
    if (answer.started !== undefined) {
      checkStart(cluster.checks, answer.started, cluster.workers);
    }
    return answer.record;
  });
}

function servePeer(
  cluster: ModelCluster,
  to: string,
  text: string,
  reply: Reply,
): void {
  const process = cluster.processes.find((each) => each.instance.id === to);
  if (process === undefined || !process.alive) return;
  const message = JSON.parse(text) as PeerMessage;
  callProcess(
    cluster,
    process,
    { kind: "peer", message },
    (answer) => reply(ok(copy(answer))),
  );
}

function serveLog(
  cluster: ModelCluster,
  effect: Extract<Effect, { kind: "readLog" }>,
  reply: Reply,
): void {
  const { platform } = cluster;
  const answer = () => {
    if (platform.logDown) return;
    reply(ok(readEntries(platform, effect.fromOffset)));
  };
  if (platform.logDown || platform.entries.length > effect.fromOffset) {
    return answer();
  }
  platform.readers.push(answer);
  later(cluster, effect.waitMs, answer);
}

function chooseFate(cluster: ModelCluster): Fate {
  if (!chance(cluster, cluster.faultPercent)) return "good";
  return FATES[between(cluster, 0, FATES.length - 1)]!;
}

function requestDelayMs(cluster: ModelCluster, rpc: Rpc, fate: Fate): number {
  switch (fate) {
    case "late":
      return rpc.timeoutMs + between(cluster, 0, MAX_LATENESS_MS);
    case "slow":
      return between(cluster, 5, rpc.timeoutMs);
    default:
      return between(cluster, 1, 4);
  }
}

function isCut(cluster: ModelCluster, from: string, to: string): boolean {
  return cluster.cuts.has(`${from}>${to}`);
}

function chance(cluster: ModelCluster, percent: number): boolean {
  return percent > 0 && cluster.randomness.integer(0, 99) < percent;
}

function between(cluster: ModelCluster, low: number, high: number): number {
  return cluster.randomness.integer(low, high);
}

function fault(rpc: Rpc, kind: FaultKind): Result<never, Fault> {
  const row = kind === "unsent"
    ? diagnostics.peerUnreachable
    : diagnostics.callTimedOut;
  return err({
    kind,
    code: row.code,
    step: "model",
    peer: rpc.to,
    message: row.template,
  });
}

/** Copies a message, as sending it would. */
function copy(value: unknown): unknown {
  return value === undefined ? undefined : JSON.parse(JSON.stringify(value));
}
