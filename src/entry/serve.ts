/**
 * The servers of an entry instance: for clients, other instances, the
 * balancer, and the reader of its metrics.
 *
 * @module
 */
import type { Server } from "node:http";
import { assertNever } from "../base/mod.ts";
import { createCallerRoute, createOperatorRoute } from "../api/mod.ts";
import { createHttpServer, type Route } from "../server/mod.ts";
import { answerCall } from "./answer_call.ts";
import { createApi } from "./api.ts";
import { askPolicy } from "./ask_policy.ts";
import { createEntry } from "./entry.ts";
import type { RelayCall } from "../ownership/mod.ts";
import type { PeerCall } from "./peer_call.ts";
import { createPeerRpcRoute } from "./peer_rpc.ts";
import { leaveFor } from "./leave_for.ts";
import { isReady } from "./readiness.ts";
import { probeInstance } from "./probe_instance.ts";
import type { Running } from "./running.ts";

const OK = 200;
const UNAVAILABLE = 503;
const MEBIBYTE = 1_048_576;
const MAX_PEER_CONNECTIONS = 1_000;
const BODY_TIMEOUT_MS = 5_000;
/** Answer of an instance that takes nothing over any more. */
const STOPPING = { kind: "refused", cause: "the instance is stopping" };

/** The servers, listening. */
export type Servers = {
  callers: Server;
  internal: Server[];
};

/** Starts the servers. */
export function serve(running: Running): Servers {
  const { settings, platform, configuration, logger, clock, stopping } =
    running;
  const { listen } = settings;
  const limits = {
    maxBytes: MEBIBYTE,
    timeoutMs: BODY_TIMEOUT_MS,
    maxConnections: MAX_PEER_CONNECTIONS,
  };
  const entry = createEntry({
    ...running,
    logger: logger.part("entry"),
    partitions: settings.store.partitions,
    callPeer: running.rpc.callOwner,
    findAt: running.rpc.find,
    formerServices: (queue) => configuration.formerServices(queue),
    signal: running.ending.signal,
  });
  const callers = platform.createCallerServer({
    entry,
    configuration,
    logger,
    clock,
    isStopping: () => stopping.signal.aborted,
  });
  const rpcRoute = createPeerRpcRoute(
    running.timeLine,
    settings.peers.secret,
    (call) => answerPeer(running, call),
  );
  const peers = createHttpServer([rpcRoute], limits);
  const readiness = createHttpServer([createReadinessRoute(running)], limits);
  const metrics = createHttpServer([createMetricsRoute(running)], limits);
  callers.listen(listen.callers.port, listen.callers.host);
  readiness.listen(listen.readiness.port, listen.readiness.host);
  peers.listen(listen.peerPort, listen.internalHost);
  metrics.listen(listen.metricsPort, listen.internalHost);
  const internal = [peers, readiness, metrics];
  if (listen.api !== undefined) {
    const api = createApi(running, entry);
    const routes = [createCallerRoute(api), createOperatorRoute(api)];
    const server = createHttpServer(routes, limits);
    server.listen(listen.api.port, listen.api.host);
    internal.push(server);
  }
  return { callers, internal };
}

async function answerPeer(running: Running, call: PeerCall): Promise<unknown> {
  switch (call.kind) {
    case "advise": {
      const { platform, logger, ending } = running;
      const advice = await askPolicy(
        platform.advice,
        call,
        logger,
        ending.signal,
      );
      return advice ?? null;
    }
    case "owners":
      return await running.directory.readStore() ?? {};
    case "relay":
      return { kind: takeRelay(running, call) ? "taken" : "closed" };
    case "relayed":
      return running.relaySessions.dispatch(call);
    case "find":
      return { partition: await running.holder.find(call.job) };
    case "reach":
      return { reached: await probeInstance(call.instance) };
    case "confirm":
      if (running.stopping.signal.aborted) return STOPPING;
      running.membership?.confirm();
      return { kind: "done" };
    case "succeed":
      return await succeed(running, call.member);
    case "owned":
      running.directory.recordOwner(call.domain, call.owner, call.epoch);
      return { kind: "done" };
    case "release":
      running.holder.release(call.domain, call.epoch);
      return { kind: "done" };
    case "submit":
    case "cancel":
    case "state":
    case "describe":
    case "pending":
      return await answerCall(running.holder, call);
    default:
      return assertNever(call);
  }
}

/** A stopping instance holds on to its links, but takes no new session. */
function takeRelay(running: Running, call: RelayCall): boolean {
  const { relays, stopping } = running;
  if (stopping.signal.aborted && call.first === 1) return false;
  return relays.receive(call);
}

/** Takes the place of a member that the store turns away. */
async function succeed(running: Running, member: string): Promise<unknown> {
  const { membership, stopping } = running;
  if (stopping.signal.aborted) return STOPPING;
  const left = await leaveFor(running, member);
  if (left.isErr()) return { kind: "refused", cause: left.error.message };
  membership?.confirm();
  return { kind: "done" };
}

function createReadinessRoute(running: Running): Route {
  return () => {
    const ready = isReady(running);
    return { status: ready ? OK : UNAVAILABLE, body: { ready } };
  };
}

function createMetricsRoute(running: Running): Route {
  return async () => ({
    status: OK,
    type: "text/plain; version=0.0.4",
    body: await running.counters.render(),
  });
}
