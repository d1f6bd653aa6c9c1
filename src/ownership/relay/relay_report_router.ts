import type { Batch } from "./batch_sender.ts";
import type { RelayEvent, RelayReportAnswer } from "./relay_message.ts";

/** A batch of events from a relay to the owner of its session. */
export type RelayReport = Batch<RelayEvent> & {
  session: string;
  /** Whether the relay is shutting down. */
  isLeaving: boolean;
  /**
   * Whether it keeps the limit to the end of leases that the owner answers;
   * missing in reports of earlier versions.
   */
  keepsLeaseLimit?: boolean | undefined;
  /**
   * Whether its calls carry the fence that the owner names; missing in reports
   * of earlier versions.
   */
  keepsFences?: boolean | undefined;
};

/** Routes relay reports to the owners in this process, by session. */
export type RelayReportRouter = {
  /** Registers the handler of a session's reports until the signal aborts. */
  register(
    session: string,
    onReport: (report: RelayReport) => RelayReportAnswer,
    signal: AbortSignal,
  ): void;
  /** Passes a report to its session's handler; `closed` if there is none. */
  dispatch(report: RelayReport): RelayReportAnswer;
};

/**
 * Creates a router without sessions.
 *
 * @example
 * ```ts
 * const router = createRelayReportRouter();
 * router.dispatch(report); // { kind: "closed" }
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
