import type { Batch } from "./batch_sender.ts";
import type { RelayEvent, RelayReportAnswer } from "./relay_message.ts";

/** A report of a relay to the owner that it holds links for. */
export type RelayReport = Batch<RelayEvent> & {
  session: string;
  /** Whether the relay is about to stop. */
  isLeaving: boolean;
};

/** The sessions that owners in this process have with relays. */
export type RelayReportRouter = {
  /** Takes reports for a session until the signal ends it. */
  register(
    session: string,
    onReport: (report: RelayReport) => RelayReportAnswer,
    signal: AbortSignal,
  ): void;
  /** Hands a report on; the answer to one that nobody waits for is final. */
  dispatch(report: RelayReport): RelayReportAnswer;
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
export function createRelayReportRouter(): RelayReportRouter {
  const handlers = new Map<
    string,
    (report: RelayReport) => RelayReportAnswer
  >();
  return {
    register(session, onReport, signal) {
      handlers.set(session, onReport);
      signal.addEventListener("abort", () => handlers.delete(session));
    },
    dispatch: (report) =>
      handlers.get(report.session)?.(report) ?? { kind: "closed" },
  };
}
