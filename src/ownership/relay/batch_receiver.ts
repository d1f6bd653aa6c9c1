import type { Batch } from "./batch_sender.ts";

/** Takes batches that may come twice or out of order. */
export type BatchReceiver<Message> = {
  accept(batch: Batch<Message>): void;
};

/**
 * Creates a receiver that hands each message on once, in the order in which
 * they were sent.
 *
 * @example
 * ```ts
 * const receiver = createBatchReceiver<string>(console.log);
 * receiver.accept({ first: 2, messages: ["second"] });
 * receiver.accept({ first: 1, messages: ["first"] }); // first, second
 * ```
 */
export function createBatchReceiver<Message>(
  take: (message: Message) => void,
): BatchReceiver<Message> {
  const early = new Map<number, Message[]>();
  let next = 1;
  return {
    accept({ first, messages }) {
      if (first < next || messages.length === 0) return;
      early.set(first, messages);
      while (true) {
        const ready = early.get(next);
        if (ready === undefined) return;
        early.delete(next);
        next += ready.length;
        ready.forEach(take);
      }
    },
  };
}
