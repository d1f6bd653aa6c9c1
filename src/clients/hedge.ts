import { NO_LONGER_NEEDED } from "../base/mod.ts";
import type { FinishedExchange } from "./http_exchange.ts";
import { timerDelayMs } from "./timer_delay.ts";

/** The most attempts of one call that wait for an answer at once. */
const MAX_ATTEMPTS = 4;

/** What a hedged call does. */
export type HedgedCall = {
  attempt(timeoutMs: number, signal: AbortSignal): Promise<FinishedExchange>;
  /** Called before each further attempt. */
  onNoResponse(): void;
};

type HedgeEvent =
  | {
    kind: "ended";
    attempt: Promise<FinishedExchange>;
    exchange: FinishedExchange;
  }
  /** The process was too busy to read answers. */
  | { kind: "held up" }
  | { kind: "silence" };

/**
 * Makes a call again and again while earlier attempts wait for their answer.
 * The first answer counts, whichever attempt brought it; a failure counts once
 * no other attempt is left.
 *
 * @param timeoutMs time for the whole call, in milliseconds
 * @param hedgeAfterMs time without an answer until the next attempt
 *
 * @example
 * ```ts
 * const exchange = await hedge(3_000, 650, signal, { attempt, onSilence });
 * ```
 */
export async function hedge(
  timeoutMs: number,
  hedgeAfterMs: number,
  signal: AbortSignal,
  call: HedgedCall,
): Promise<FinishedExchange> {
  const untilMs = performance.now() + timeoutMs;
  const attemptsAbort = new AbortController();
  const abortAttempts = () => attemptsAbort.abort(NO_LONGER_NEEDED);
  signal.addEventListener("abort", abortAttempts);
  const pending = new Set<Promise<FinishedExchange>>();
  let wasSent = false;
  let isAttemptDue = true;
  try {
    while (true) {
      const leftMs = untilMs - performance.now();
      if (isAttemptDue && pending.size < MAX_ATTEMPTS) {
        pending.add(call.attempt(Math.max(1, leftMs), attemptsAbort.signal));
      }
      isAttemptDue = false;
      const event = await nextEvent(pending, hedgeAfterMs);
      if (event.kind === "held up") continue;
      if (event.kind === "silence") {
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

/** Waits until an attempt ends, or for a time. */
async function nextEvent(
  pending: Set<Promise<FinishedExchange>>,
  waitMs: number,
): Promise<HedgeEvent> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const dueMs = performance.now() + waitMs;
  const silence = new Promise<HedgeEvent>((resolve) => {
    timer = setTimeout(() => {
      resolve({ kind: timerDelayMs(dueMs) > 0 ? "held up" : "silence" });
    }, waitMs);
  });
  const endings = [...pending].map(async (attempt): Promise<HedgeEvent> => ({
    kind: "ended",
    attempt,
    exchange: await attempt,
  }));
  try {
    return await Promise.race([silence, ...endings]);
  } finally {
    clearTimeout(timer);
  }
}
