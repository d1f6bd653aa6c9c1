import type { Batch } from "./batch_sender.ts";
import type { RelayedAnswer, RelayEvent } from "./relay_message.ts";

/** A report of a relay to the owner that it holds links for. */
export type RelayReport = Batch<RelayEvent> & {
  session: string;
  /** Whether the relay is about to stop. */
  isLeaving: boolean;
};

/** The sessions that owners in this process have with relays. */
export type RelaySessions = {
  /** Takes reports for a session until the signal ends it. */
  open(
    session: string,
    take: (report: RelayReport) => RelayedAnswer,
    signal: AbortSignal,
  ): void;
  /** Hands a report on; the answer to one that nobody waits for is final. */
  take(report: RelayReport): RelayedAnswer;
};

/**
 * Creates a list without sessions.
 *
 * @example
 * ```ts
 * const sessions = createRelaySessions();
 * sessions.take(report); // { kind: "closed" }
 * ```
 */
export function createRelaySessions(): RelaySessions {
  const open = new Map<string, (report: RelayReport) => RelayedAnswer>();
  return {
    open(session, take, signal) {
      open.set(session, take);
      signal.addEventListener("abort", () => open.delete(session));
    },
    take: (report) => open.get(report.session)?.(report) ?? { kind: "closed" },
  };
}
