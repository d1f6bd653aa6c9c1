import { OVER } from "../base/mod.ts";
import type { FinishedExchange } from "./http_exchange.ts";
import { delayOf } from "./late_timer.ts";

/** The most attempts of one call that wait for an answer at once. */
const MAX_ATTEMPTS = 4;

/** What a hedged call does. */
export type HedgedCall = {
  attempt(timeoutMs: number, signal: AbortSignal): Promise<FinishedExchange>;
  /** Called before each further attempt. */
  onSilence(): void;
};

type Round =
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
  const ending = new AbortController();
  const end = () => ending.abort(OVER);
  signal.addEventListener("abort", end);
  const pending = new Set<Promise<FinishedExchange>>();
  let isSent = false;
  let isDue = true;
  try {
    while (true) {
      const leftMs = untilMs - performance.now();
      if (isDue && pending.size < MAX_ATTEMPTS) {
        pending.add(call.attempt(Math.max(1, leftMs), ending.signal));
      }
      isDue = false;
      const round = await nextRound(pending, hedgeAfterMs);
      if (round.kind === "held up") continue;
      if (round.kind === "silence") {
        call.onSilence();
        isDue = true;
        continue;
      }
      const { exchange } = round;
      pending.delete(round.attempt);
      if (exchange.kind === "answered") return exchange;
      isSent ||= "sent" in exchange && exchange.sent;
      if (pending.size === 0) {
        return "sent" in exchange ? { ...exchange, sent: isSent } : exchange;
      }
    }
  } finally {
    signal.removeEventListener("abort", end);
    if (pending.size > 0) ending.abort(OVER);
  }
}

/** Waits until an attempt ends, or for a time. */
async function nextRound(
  pending: Set<Promise<FinishedExchange>>,
  waitMs: number,
): Promise<Round> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const dueMs = performance.now() + waitMs;
  const silence = new Promise<Round>((resolve) => {
    timer = setTimeout(() => {
      resolve({ kind: delayOf(dueMs) > 0 ? "held up" : "silence" });
    }, waitMs);
  });
  const ends = [...pending].map(async (attempt): Promise<Round> => ({
    kind: "ended",
    attempt,
    exchange: await attempt,
  }));
  try {
    return await Promise.race([silence, ...ends]);
  } finally {
    clearTimeout(timer);
  }
}
