/**
 * The relay side of the protocol: the relay sessions of this instance, one for
 * each owner that opens one.
 *
 * @module
 */
import type { Clock, TaskHost } from "../../hosts/mod.ts";
import type { Counters, PartLogger } from "../../telemetry/mod.ts";
import type { Batch } from "./batch_sender.ts";
import type {
  RelayEvent,
  RelayMessage,
  RelayReportAnswer,
} from "./relay_message.ts";
import { type RelaySession, startRelaySession } from "./relay_session.ts";

/** Dependencies of a relay server. */
export type RelayServerHost = {
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  /** Length of the leases granted to workers, in milliseconds. */
  leaseMs: number;
  /** The longest lease that a worker grants, in milliseconds. */
  maxLeaseMs: number;
  /** Reports events to an owner; undefined if no answer arrived. */
  report(
    owner: RelayOwner,
    session: string,
    batch: Batch<RelayEvent>,
  ): Promise<RelayReportAnswer | undefined>;
  signal: AbortSignal;
};

/** The owner that a relay serves. */
export type RelayOwner = {
  /** Address that the relay reports to. */
  owner: string;
  /**
   * Address of the owner as listed in the directory; missing in calls of earlier
   * versions, where it is the same.
   */
  instance?: string | undefined;
};

/** A batch of messages from an owner for one of its sessions. */
export type RelayCall = RelayOwner & {
  session: string;
  epoch: number;
  /** The owner's clock when it sent the batch, in milliseconds. */
  ownerMs: number;
  first: number;
  messages: RelayMessage[];
};

/** The relay sessions that an instance serves. */
export type RelayServer = {
  /**
   * Receives a batch. Returns false if the batch continues an unknown session,
   * for instance after a restart.
   */
  receive(call: RelayCall): boolean;
};

/**
 * Creates a relay server without sessions.
 *
 * @example
 * ```ts
 * const relayServer = createRelayServer(host);
 * relayServer.receive(call);
 * ```
 */
export function createRelayServer(host: RelayServerHost): RelayServer {
  const sessions = new Map<string, RelaySession>();
  /** Ids of ended sessions, so that a late batch cannot restart one. */
  const endedSessions = new Set<string>();

  function startSession(
    { session: id, owner, instance, epoch }: RelayCall,
  ): RelaySession {
    host.logger.info("Relay session started.", { owner, epoch });
    const session = startRelaySession({
      ...host,
      epoch,
      report: (batch) => host.report({ owner, instance }, id, batch),
    });
    sessions.set(id, session);
    session.ended.addEventListener("abort", () => {
      sessions.delete(id);
      endedSessions.add(id);
    });
    return session;
  }

  return {
    receive(call) {
      const existing = sessions.get(call.session);
      const isUnknown = existing === undefined &&
        (call.first !== 1 || endedSessions.has(call.session));
      if (isUnknown) return false;
      const session = existing ?? startSession(call);
      session.receive(call, call.ownerMs);
      return true;
    },
  };
}
