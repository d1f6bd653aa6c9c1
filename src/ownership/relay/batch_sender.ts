import type { Clock } from "../../hosts/mod.ts";

/** Maximum number of batches awaiting an acknowledgement. */
const MAX_BATCHES_IN_FLIGHT = 2;
/** Minimum time between two sends, in milliseconds. */
const MIN_SEND_INTERVAL_MS = 10;
/** Delay before a failed batch is sent again, in milliseconds. */
const RETRY_DELAY_MS = 60;

/** Consecutive messages; `first` is the sequence number of the first one. */
export type Batch<Message> = { first: number; messages: Message[] };

/** Result of sending a batch. */
export type BatchOutcome =
  /** The receiver has acknowledged it. */
  | "taken"
  /** It may not have arrived; it will be sent again. */
  | "failed"
  /** The receiver accepts no further batches. */
  | "closed";

/** Dependencies of a sender. */
export type BatchSenderHost<Message> = {
  clock: Clock;
  post(batch: Batch<Message>): Promise<BatchOutcome>;
  /** An empty batch is sent after this time without sends, in ms. */
  keepAliveIntervalMs: number;
  /** Called once, when the receiver accepts no further batches. */
  onClosed(): void;
  signal: AbortSignal;
};

/** Sends messages in batches, each one delivered exactly once and in order. */
export type BatchSender<Message> = {
  send(message: Message): void;
  /** Time since a batch was last acknowledged, in milliseconds. */
  sinceLastDeliveryMs(): number;
};

/**
 * Creates a sender. Messages queue while the maximum number of batches is in
 * flight and then leave in a single batch, so a busy receiver gets fewer,
 * larger batches.
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
    // Groups everything that one event loop iteration sends into one batch.
    if (delayMs <= 0) setImmediate(flushQueue);
    else setTimeout(flushQueue, delayMs);
  }

  function flushQueue(): void {
    isFlushScheduled = false;
    // A relay rejects later batches of a session until it has the first one.
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
