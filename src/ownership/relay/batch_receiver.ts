import type { Batch } from "./batch_sender.ts";

/** Receives batches that may be duplicated or out of order. */
export type BatchReceiver<Message> = {
  accept(batch: Batch<Message>): void;
};

/**
 * Creates a receiver that delivers each message exactly once, in the order of
 * sending.
 *
 * @param deliver handles one message
 *
 * @example
 * ```ts
 * const receiver = createBatchReceiver<string>(console.log);
 * receiver.accept({ first: 2, messages: ["second"] });
 * receiver.accept({ first: 1, messages: ["first"] }); // first, second
 * ```
 */
export function createBatchReceiver<Message>(
  deliver: (message: Message) => void,
): BatchReceiver<Message> {
  const outOfOrder = new Map<number, Message[]>();
  let nextSequence = 1;
  return {
    accept({ first, messages }) {
      if (first < nextSequence || messages.length === 0) return;
      outOfOrder.set(first, messages);
      while (true) {
        const ready = outOfOrder.get(nextSequence);
        if (ready === undefined) return;
        outOfOrder.delete(nextSequence);
        nextSequence += ready.length;
        ready.forEach(deliver);
      }
    },
  };
}
