import type { DomainEvent, WorkerOrder } from "../../domain/mod.ts";

/** The starts of a session whose outcome is open. */
export type PendingStarts = {
  /** Takes an order in; a stop ends the start of the same attempt. */
  recordOrder(order: WorkerOrder): void;
  /** Takes in what a link reports; it may settle starts. */
  recordEvent(event: DomainEvent): void;
  /** Whether an order is still to be carried out. */
  isCurrent(order: WorkerOrder): boolean;
};

/**
 * Creates the list of open starts, which is empty. The relay does not know
 * the domain, so it tells by what it saw itself whether a start still holds.
 *
 * @example
 * ```ts
 * const starts = createOpenStarts();
 * starts.noteOrder(order);
 * starts.isCurrent(order); // true
 * ```
 */
export function createPendingStarts(): PendingStarts {
  const byWorker = new Map<string, Set<string>>();
  const resolveStart = (worker: string, task: string, attempt: number) =>
    byWorker.get(worker)?.delete(keyOf(task, attempt));
  return {
    recordOrder(order) {
      const { worker, task, attempt } = order;
      if (order.kind === "stop") resolveStart(worker, task, attempt);
      if (order.kind !== "start") return;
      const pending = byWorker.get(worker) ?? new Set();
      byWorker.set(worker, pending.add(keyOf(task, attempt)));
    },
    recordEvent(event) {
      switch (event.kind) {
        case "startAnswered":
          resolveStart(event.worker, event.task, event.attempt);
          return;
        case "looked":
          for (const { task, attempt } of event.look.running) {
            resolveStart(event.worker, task, attempt);
          }
          for (const { task, attempt } of event.look.ended) {
            resolveStart(event.worker, task, attempt);
          }
          return;
        case "workerLapsed":
          byWorker.delete(event.worker);
          return;
        default:
          return;
      }
    },
    isCurrent: (order) =>
      order.kind !== "start" ||
      byWorker.get(order.worker)?.has(keyOf(order.task, order.attempt)) ===
        true,
  };
}

function keyOf(task: string, attempt: number): string {
  return `${task}/${attempt}`;
}
