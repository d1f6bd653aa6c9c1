import { NO_LONGER_NEEDED } from "../base/mod.ts";
import type { FinishedExchange } from "./http_exchange.ts";
import { timerDelayMs } from "./timer_delay.ts";

/** Maximum number of attempts of one call that may be in flight at once. */
const MAX_CONCURRENT_ATTEMPTS = 4;

/** The operations that `hedge` needs to run a call. */
export type HedgedCall = {
  /** Starts one attempt. */
  attempt(timeoutMs: number, signal: AbortSignal): Promise<FinishedExchange>;
  /** Called when no response arrived within the hedging delay. */
  onNoResponse(): void;
};

type HedgeEvent =
  | {
    kind: "ended";
    attempt: Promise<FinishedExchange>;
    exchange: FinishedExchange;
  }
  /** The event loop was blocked, so arrived responses may be unread. */
  | { kind: "timerLate" }
  /** No attempt ended within the hedging delay. */
  | { kind: "hedgeDue" };

/**
 * Makes a hedged call: starts a further attempt each time the hedging delay
 * passes without a response, while earlier attempts stay in flight, up to
 * `MAX_CONCURRENT_ATTEMPTS`. Returns the first response; a failure is returned
 * only when no other attempt is in flight.
 *
 * @param timeoutMs timeout of the whole call, in milliseconds
 * @param hedgeAfterMs hedging delay, in milliseconds
 *
 * @example
 * ```ts
 * const exchange = await hedge(3_000, 650, signal, { attempt, onNoResponse });
 * ```
 */
export async function hedge(
  timeoutMs: number,
  hedgeAfterMs: number,
  signal: AbortSignal,
  call: HedgedCall,
): Promise<FinishedExchange> {
  const deadlineMs = performance.now() + timeoutMs;
  const attemptsAbort = new AbortController();
  const abortAttempts = () => attemptsAbort.abort(NO_LONGER_NEEDED);
  signal.addEventListener("abort", abortAttempts);
  const pending = new Set<Promise<FinishedExchange>>();
  let wasSent = false;
  let isAttemptDue = true;
  try {
    while (true) {
      const remainingMs = deadlineMs - performance.now();
      if (isAttemptDue && pending.size < MAX_CONCURRENT_ATTEMPTS) {
        pending.add(
          call.attempt(Math.max(1, remainingMs), attemptsAbort.signal),
        );
      }
      isAttemptDue = false;
      const event = await nextEvent(pending, hedgeAfterMs);
      if (event.kind === "timerLate") continue;
      if (event.kind === "hedgeDue") {
        call.onNoResponse();
        isAttemptDue = true;
        continue;
      }
      const { exchange } = event;
      pending.delete(event.attempt);
      if (exchange.kind === "answered") return exchange;
      wasSent ||= "sent" in exchange && exchange.sent;
      if (pending.size === 0) {
        return "sent" in exchange ? { ...exchange, sent: wasSent } : exchange;
      }
    }
  } finally {
    signal.removeEventListener("abort", abortAttempts);
    if (pending.size > 0) attemptsAbort.abort(NO_LONGER_NEEDED);
  }
}

/** Waits until an attempt ends or the hedging delay passes. */
async function nextEvent(
  pending: Set<Promise<FinishedExchange>>,
  hedgeAfterMs: number,
): Promise<HedgeEvent> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const dueMs = performance.now() + hedgeAfterMs;
  const hedgeDue = new Promise<HedgeEvent>((resolve) => {
    timer = setTimeout(() => {
      resolve({ kind: timerDelayMs(dueMs) > 0 ? "timerLate" : "hedgeDue" });
    }, hedgeAfterMs);
  });
  const endings = [...pending].map(async (attempt): Promise<HedgeEvent> => ({
    kind: "ended",
    attempt,
    exchange: await attempt,
  }));
  try {
    return await Promise.race([hedgeDue, ...endings]);
  } finally {
    clearTimeout(timer);
  }
}
