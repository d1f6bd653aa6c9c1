/**
 * The relay sessions of this instance, one for each owner that asks for it.
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

/** What a holder of sessions needs. */
export type RelayServerHost = {
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  leaseMs: number;
  report(
    owner: string,
    session: string,
    batch: Batch<RelayEvent>,
  ): Promise<RelayReportAnswer | undefined>;
  signal: AbortSignal;
};

/** A batch of an owner for one of its sessions. */
export type RelayCall = {
  session: string;
  /** Address of the owner. */
  owner: string;
  epoch: number;
  /** The owner's steady clock when it sent the batch. */
  ownerMs: number;
  first: number;
  messages: RelayMessage[];
};

/** The relay sessions of an instance. */
export type RelayServer = {
  /**
   * Takes a batch; false where it continues a session that is not known, as
   * after a restart.
   */
  receive(call: RelayCall): boolean;
};

/**
 * Creates a holder without sessions.
 *
 * @example
 * ```ts
 * const relays = createRelayHolder(host);
 * relays.take(call);
 * ```
 */
export function createRelayServer(host: RelayServerHost): RelayServer {
  const sessions = new Map<string, RelaySession>();
  /** Sessions that have ended; none of them may begin again. */
  const endedSessions = new Set<string>();

  function startSession(
    { session: id, owner, epoch }: RelayCall,
  ): RelaySession {
    host.logger.info("Begins a relay session.", { owner, epoch });
    const session = startRelaySession({
      ...host,
      epoch,
      report: (batch) => host.report(owner, id, batch),
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
