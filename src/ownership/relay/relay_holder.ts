/**
 * The relay sessions of this instance, one for each owner that asks for it.
 *
 * @module
 */
import type { Clock, TaskHost } from "../../hosts/mod.ts";
import type { Counters, PartLogger } from "../../telemetry/mod.ts";
import type { Batch } from "./batch_sender.ts";
import type {
  RelayedAnswer,
  RelayEvent,
  RelayMessage,
} from "./relay_message.ts";
import { beginRelaySession, type RelaySession } from "./relay_session.ts";

/** What a holder of sessions needs. */
export type RelayHolderHost = {
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  leaseMs: number;
  report(
    owner: string,
    session: string,
    batch: Batch<RelayEvent>,
  ): Promise<RelayedAnswer | undefined>;
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
export type RelayHolder = {
  /**
   * Takes a batch; false where it continues a session that is not known, as
   * after a restart.
   */
  take(call: RelayCall): boolean;
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
export function createRelayHolder(host: RelayHolderHost): RelayHolder {
  const sessions = new Map<string, RelaySession>();
  /** Sessions that have ended; none of them may begin again. */
  const past = new Set<string>();

  function begin({ session: id, owner, epoch }: RelayCall): RelaySession {
    host.logger.info("Begins a relay session.", { owner, epoch });
    const session = beginRelaySession({
      ...host,
      epoch,
      report: (batch) => host.report(owner, id, batch),
    });
    sessions.set(id, session);
    session.ended.addEventListener("abort", () => {
      sessions.delete(id);
      past.add(id);
    });
    return session;
  }

  return {
    take(call) {
      const known = sessions.get(call.session);
      const isUnknown = known === undefined &&
        (call.first !== 1 || past.has(call.session));
      if (isUnknown) return false;
      const session = known ?? begin(call);
      session.take(call, call.ownerMs);
      return true;
    },
  };
}
