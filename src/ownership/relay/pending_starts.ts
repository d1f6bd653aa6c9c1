import type { DomainEvent, WorkerOrder } from "../../domain/mod.ts";

/** The start orders of a session whose outcome is not known yet. */
export type PendingStarts = {
  /** Records an order; a stop cancels a pending start of the same attempt. */
  recordOrder(order: WorkerOrder): void;
  /** Records an event of a link, which may resolve pending starts. */
  recordEvent(event: DomainEvent): void;
  /** Whether an order must still be carried out. */
  isCurrent(order: WorkerOrder): boolean;
};

/**
 * Creates an empty set of pending starts. A relay has no copy of the domain's
 * state, so it decides from the orders and events that passed through it
 * whether a start is still wanted.
 *
 * @example
 * ```ts
 * const pendingStarts = createPendingStarts();
 * pendingStarts.recordOrder(order);
 * pendingStarts.isCurrent(order); // true
 * ```
 */
export function createPendingStarts(): PendingStarts {
  const byWorker = new Map<string, Set<string>>();
  const resolveStart = (worker: string, task: string, attempt: number) =>
    byWorker.get(worker)?.delete(attemptKey(task, attempt));
  /** Forgets the starts at a worker, but for those of tasks still held there. */
  function forgetLapsed(worker: string, held: Set<string>): void {
    const pending = byWorker.get(worker);
    for (const key of pending ?? []) {
      if (!held.has(taskOf(key))) pending?.delete(key);
    }
    if (pending?.size === 0) byWorker.delete(worker);
  }

  return {
    recordOrder(order) {
      const { worker, task, attempt } = order;
      if (order.kind === "stop") resolveStart(worker, task, attempt);
      if (order.kind !== "start") return;
      const pending = byWorker.get(worker) ?? new Set();
      byWorker.set(worker, pending.add(attemptKey(task, attempt)));
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
          return forgetLapsed(event.worker, new Set(event.heldStarts));
        default:
          return;
      }
    },
    isCurrent: (order) =>
      order.kind !== "start" ||
      byWorker.get(order.worker)?.has(attemptKey(order.task, order.attempt)) ===
        true,
  };
}

function attemptKey(task: string, attempt: number): string {
  return `${task}/${attempt}`;
}

function taskOf(key: string): string {
  return key.slice(0, key.lastIndexOf("/"));
}
