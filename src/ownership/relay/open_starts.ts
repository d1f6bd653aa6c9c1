import type { DomainEvent, WorkerOrder } from "../../domain/mod.ts";

/** The starts of a session whose outcome is open. */
export type OpenStarts = {
  /** Takes an order in; a stop ends the start of the same attempt. */
  noteOrder(order: WorkerOrder): void;
  /** Takes in what a link reports; it may settle starts. */
  noteEvent(event: DomainEvent): void;
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
export function createOpenStarts(): OpenStarts {
  const byWorker = new Map<string, Set<string>>();
  const settle = (worker: string, task: string, attempt: number) =>
    byWorker.get(worker)?.delete(keyOf(task, attempt));
  return {
    noteOrder(order) {
      const { worker, task, attempt } = order;
      if (order.kind === "stop") settle(worker, task, attempt);
      if (order.kind !== "start") return;
      const known = byWorker.get(worker) ?? new Set();
      byWorker.set(worker, known.add(keyOf(task, attempt)));
    },
    noteEvent(event) {
      switch (event.kind) {
        case "startAnswered":
          settle(event.worker, event.task, event.attempt);
          return;
        case "looked":
          for (const { task, attempt } of event.look.running) {
            settle(event.worker, task, attempt);
          }
          for (const { task, attempt } of event.look.ended) {
            settle(event.worker, task, attempt);
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
