/**
 * The servers of an entry instance: for client calls, peer calls, readiness
 * checks, metrics and the product's own API.
 *
 * @module
 */
import type { Server } from "node:http";
import { assertNever } from "../base/mod.ts";
import { createCallerRoute, createOperatorRoute } from "../api/mod.ts";
import {
  createHttpServer,
  type Route,
  type ServerName,
} from "../server/mod.ts";
import { createInstanceGuard } from "./instance_guard.ts";
import {
  type DomainCallHost,
  executeDomainCall,
} from "./execute_domain_call.ts";
import { createApiHost } from "./api_host.ts";
import { requestAdvice } from "./request_advice.ts";
import { createCallRouter } from "./call_router.ts";
import { createClientAuthentication } from "./client_authentication.ts";
import type { RelayCall } from "../ownership/mod.ts";
import type { PeerCall } from "./peer_call.ts";
import { peerPorts } from "./peer_ports.ts";
import { createPeerRpcRoute } from "./peer_rpc.ts";
import { evictMember } from "./evict_member.ts";
import { createRefusalLog } from "./refusal_log.ts";
import { isReady } from "./readiness.ts";
import { isAlive, probeInstance } from "./probe_instance.ts";
import { type EntryContext, partitionsInUse } from "./entry_context.ts";

const OK = 200;
const UNAVAILABLE = 503;
const MEBIBYTE = 1_048_576;
const MAX_PEER_CONNECTIONS = 1_000;
const BODY_TIMEOUT_MS = 5_000;
/** Answer of a stopping instance, which no longer takes over domains. */
const REFUSED_STOPPING = { kind: "refused", cause: "the instance is stopping" };

/** The listening servers. */
export type Servers = {
  callers: Server;
  internal: Server[];
};

/** Starts the servers of an instance. */
export function serve(context: EntryContext): Servers {
  const { settings, platform, configuration, logger, clock, stopping } =
    context;
  const { listen } = settings;
  const limits = {
    maxBytes: MEBIBYTE,
    timeoutMs: BODY_TIMEOUT_MS,
    maxConnections: MAX_PEER_CONNECTIONS,
  };
  const clients = createInstanceGuard(context);
  const domainCalls: DomainCallHost = {
    ...context,
    logger: logger.part("entry"),
    partitionCount: settings.store.partitions,
    findJobAt: context.rpc.find,
    signal: context.closing.signal,
  };
  const router = createCallRouter({
    ...context,
    ...domainCalls,
    callPeer: context.rpc.callOwner,
    partitionsInUse: () => partitionsInUse(context),
    isAssigned: (queue) => configuration.hasQueue(queue),
  });
  const callers = platform.createCallerServer({
    router,
    configuration,
    authentication: createClientAuthentication({
      configuration,
      intake: context.configurationIntake,
      counters: context.counters,
      refusals: createRefusalLog(
        clock,
        logger.part("entry"),
        "Refused calls because of their keys.",
      ),
      ...settings.configuration,
    }),
    logger,
    clock,
    clients,
    isStopping: () => stopping.signal.aborted,
  });
  const rpcRoute = createPeerRpcRoute(
    context.timeLine,
    settings.peers.secret,
    (call) => handlePeerCall(context, domainCalls, call),
  );
  const createInternalServer = (name: ServerName, routes: Route[]) =>
    createHttpServer(routes, { ...limits, name }, clients);
  const readiness = createInternalServer("readiness", [
    createReadinessRoute(context),
  ]);
  const metrics = createInternalServer("metrics", [
    createMetricsRoute(context),
  ]);
  callers.listen(listen.callers.port, listen.callers.host);
  readiness.listen(listen.readiness.port, listen.readiness.host);
  const peers = peerPorts(listen).map((port) =>
    createInternalServer("peers", [rpcRoute])
      .listen(port, listen.internalHost)
  );
  metrics.listen(listen.metricsPort, listen.internalHost);
  const internal = [...peers, readiness, metrics];
  if (listen.api !== undefined) {
    const api = createApiHost(context, router);
    const routes = [createCallerRoute(api), createOperatorRoute(api)];
    const server = createInternalServer("api", routes);
    server.listen(listen.api.port, listen.api.host);
    internal.push(server);
  }
  return { callers, internal };
}

async function handlePeerCall(
  context: EntryContext,
  domainCalls: DomainCallHost,
  call: PeerCall,
): Promise<unknown> {
  switch (call.kind) {
    case "advise": {
      const { platform, logger, ending } = context;
      const advice = await requestAdvice(
        platform.advice,
        call,
        logger,
        ending.signal,
      );
      return advice ?? null;
    }
    case "owners":
      return await context.directory.readStore() ?? {};
    case "relay":
      context.peerContact.record(call.instance ?? call.owner);
      return { kind: acceptRelay(context, call) ? "taken" : "closed" };
    case "relayed":
      return context.relaySessions.dispatch(call);
    case "configuration":
      return context.configurationIntake.answer(call.version);
    case "find":
      return await context.ownedDomains.find(call.job, call.partitions, call);
    case "reach": {
      const outcome = await probeInstance(call.instance);
      const silentMs = context.peerContact.silentMs(call.instance);
      return { reached: isAlive(outcome, silentMs) };
    }
    case "confirm":
      if (context.stopping.signal.aborted) return REFUSED_STOPPING;
      context.membership?.confirm();
      return { kind: "done" };
    case "succeed":
      return await replaceMember(context, call.member);
    case "owned":
      context.directory.recordOwner(call.domain, call.owner, call.epoch);
      return { kind: "done" };
    case "release":
      context.ownedDomains.release(call.domain, call.epoch);
      return { kind: "done" };
    case "submit":
    case "cancel":
    case "state":
    case "describe":
    case "preview":
    case "pending":
      return await executeDomainCall(domainCalls, call);
    default:
      return assertNever(call);
  }
}

/** Keeps relaying open sessions while stopping, but accepts no new one. */
function acceptRelay(context: EntryContext, call: RelayCall): boolean {
  const { relayServer, stopping } = context;
  if (stopping.signal.aborted && call.first === 1) return false;
  return relayServer.receive(call);
}

/** Evicts a member that the store does not confirm, and joins in its place. */
async function replaceMember(
  context: EntryContext,
  member: string,
): Promise<unknown> {
  const { membership, stopping } = context;
  if (stopping.signal.aborted) return REFUSED_STOPPING;
  const result = await evictMember(context, member);
  if (result.isErr()) return { kind: "refused", cause: result.error.message };
  membership?.confirm();
  return { kind: "done" };
}

function createReadinessRoute(context: EntryContext): Route {
  return () => {
    const ready = isReady(context);
    return { status: ready ? OK : UNAVAILABLE, body: { ready } };
  };
}

function createMetricsRoute(context: EntryContext): Route {
  return async () => ({
    status: OK,
    type: "text/plain; version=0.0.4",
    body: await context.counters.render(),
  });
}
