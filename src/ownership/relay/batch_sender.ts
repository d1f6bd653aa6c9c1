import type { Clock } from "../../hosts/mod.ts";

/** How many batches may be on their way at once. */
const MAX_IN_FLIGHT = 2;
/** Least time from one batch to the next, in milliseconds. */
const LEAST_GAP_MS = 10;
/** Pause before a batch that failed is sent again, in milliseconds. */
const RETRY_MS = 60;

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
  idleMs: number;
  /** Called once, when the other side takes no more. */
  onClosed(): void;
  signal: AbortSignal;
};

/** Sends messages in batches; each arrives once, in order. */
export type BatchSender<Message> = {
  send(message: Message): void;
  /** For how long no batch has arrived, in milliseconds. */
  silentMs(): number;
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
  let next = 1;
  let inFlight = 0;
  let isPlanned = false;
  let isClosed = false;
  let hasArrived = false;
  let arrivedAtMs = clock.steadyMs();
  let sentAtMs = -Infinity;

  function plan(): void {
    if (isPlanned || isClosed) return;
    isPlanned = true;
    const delayMs = sentAtMs + LEAST_GAP_MS - clock.steadyMs();
    // All that one turn of the loop brings leaves in one batch.
    if (delayMs <= 0) setImmediate(deliverQueue);
    else setTimeout(deliverQueue, delayMs);
  }

  function deliverQueue(): void {
    isPlanned = false;
    // The other side has to see the first batch before any other.
    const limit = hasArrived ? MAX_IN_FLIGHT : 1;
    if (queue.length > 0 && inFlight < limit) deliver();
  }

  async function deliver(): Promise<void> {
    const batch = { first: next, messages: queue };
    next += queue.length;
    queue = [];
    inFlight += 1;
    while (!signal.aborted && !isClosed) {
      sentAtMs = clock.steadyMs();
      const outcome = await host.post(batch);
      if (outcome === "taken") {
        arrivedAtMs = clock.steadyMs();
        hasArrived = true;
        break;
      }
      if (outcome === "closed") {
        if (!isClosed) host.onClosed();
        isClosed = true;
        break;
      }
      await clock.sleep(RETRY_MS, signal);
    }
    inFlight -= 1;
    if (queue.length > 0) plan();
  }

  async function keepAlive(): Promise<void> {
    while (!signal.aborted && !isClosed) {
      await clock.sleep(host.idleMs, signal);
      const isIdle = inFlight === 0 &&
        clock.steadyMs() - sentAtMs >= host.idleMs;
      if (isIdle && !signal.aborted) deliver();
    }
  }

  keepAlive();
  return {
    send(message) {
      queue.push(message);
      plan();
    },
    silentMs: () => clock.steadyMs() - arrivedAtMs,
  };
}
