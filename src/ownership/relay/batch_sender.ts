import type { Clock } from "../../hosts/mod.ts";

/** How many batches may be on their way at once. */
const MAX_BATCHES_IN_FLIGHT = 2;
/** Least time from one batch to the next, in milliseconds. */
const MIN_SEND_INTERVAL_MS = 10;
/** Pause before a batch that failed is sent again, in milliseconds. */
const RETRY_DELAY_MS = 60;

/** Messages with the number of the first; the others follow it. */
export type Batch<Message> = { first: number; messages: Message[] };

/** How sending a batch ended. */
export type BatchOutcome =
  /** The other side has it. */
  | "taken"
  /** It may not have arrived; it is sent again. */
  | "failed"
  /** The other side takes no more of them. */
  | "closed";

/** What a sender needs. */
export type BatchSenderHost<Message> = {
  clock: Clock;
  post(batch: Batch<Message>): Promise<BatchOutcome>;
  /** After this time without a batch an empty one is sent, in ms. */
  keepAliveIntervalMs: number;
  /** Called once, when the other side takes no more. */
  onClosed(): void;
  signal: AbortSignal;
};

/** Sends messages in batches; each arrives once, in order. */
export type BatchSender<Message> = {
  send(message: Message): void;
  /** For how long no batch has arrived, in milliseconds. */
  sinceLastDeliveryMs(): number;
};

/**
 * Creates a sender. What is sent while the most batches are on their way
 * leaves together with the next, so a busy receiver gets fewer, larger ones.
 *
 * @example
 * ```ts
 * const sender = createBatchSender(host);
 * sender.send({ kind: "floor", floorMs: 0 });
 * ```
 */
export function createBatchSender<Message>(
  host: BatchSenderHost<Message>,
): BatchSender<Message> {
  const { clock, signal } = host;
  let queue: Message[] = [];
  let nextSequence = 1;
  let inFlight = 0;
  let isFlushScheduled = false;
  let isClosed = false;
  let hasDelivered = false;
  let lastDeliveredAtMs = clock.steadyMs();
  let lastSentAtMs = -Infinity;

  function scheduleFlush(): void {
    if (isFlushScheduled || isClosed) return;
    isFlushScheduled = true;
    const delayMs = lastSentAtMs + MIN_SEND_INTERVAL_MS - clock.steadyMs();
    // All that one turn of the loop brings leaves in one batch.
    if (delayMs <= 0) setImmediate(flushQueue);
    else setTimeout(flushQueue, delayMs);
  }

  function flushQueue(): void {
    isFlushScheduled = false;
    // The other side has to see the first batch before any other.
    const limit = hasDelivered ? MAX_BATCHES_IN_FLIGHT : 1;
    if (queue.length > 0 && inFlight < limit) sendUntilDelivered();
  }

  async function sendUntilDelivered(): Promise<void> {
    const batch = { first: nextSequence, messages: queue };
    nextSequence += queue.length;
    queue = [];
    inFlight += 1;
    while (!signal.aborted && !isClosed) {
      lastSentAtMs = clock.steadyMs();
      const outcome = await host.post(batch);
      if (outcome === "taken") {
        lastDeliveredAtMs = clock.steadyMs();
        hasDelivered = true;
        break;
      }
      if (outcome === "closed") {
        if (!isClosed) host.onClosed();
        isClosed = true;
        break;
      }
      await clock.sleep(RETRY_DELAY_MS, signal);
    }
    inFlight -= 1;
    if (queue.length > 0) scheduleFlush();
  }

  async function sendKeepAlives(): Promise<void> {
    while (!signal.aborted && !isClosed) {
      await clock.sleep(host.keepAliveIntervalMs, signal);
      const isIdle = inFlight === 0 &&
        clock.steadyMs() - lastSentAtMs >= host.keepAliveIntervalMs;
      if (isIdle && !signal.aborted) sendUntilDelivered();
    }
  }

  sendKeepAlives();
  return {
    send(message) {
      queue.push(message);
      scheduleFlush();
    },
    sinceLastDeliveryMs: () => clock.steadyMs() - lastDeliveredAtMs,
  };
}
