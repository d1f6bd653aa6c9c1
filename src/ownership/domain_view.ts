import type { TaskView, WorkerView } from "../domain/mod.ts";

/** The state of a domain that its owner reports to operators. */
export type DomainView = {
  partition: number;
  epoch: number;
  /** Age of the owner's append in flight, in milliseconds. */
  storeSilentMs: number;
  /** The number of jobs in memory, including ended ones. */
  jobs: number;
  workers: WorkerView[];
  tasks: TaskView[];
};
