import type { TaskView, WorkerView } from "../domain/mod.ts";

/** A domain as its owner shows it to operators. */
export type DomainView = {
  partition: number;
  epoch: number;
  /** How long the store has not answered the owner, in milliseconds. */
  storeSilentMs: number;
  /** How many jobs are known, ended ones included. */
  jobs: number;
  workers: WorkerView[];
  tasks: TaskView[];
};
