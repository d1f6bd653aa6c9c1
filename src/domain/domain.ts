import type { Resources } from "../model/mod.ts";
import type { DomainCommand } from "./domain_command.ts";
import type { DomainOptions } from "./domain_options.ts";
import type { DomainWorker } from "./domain_worker.ts";
import type { JobRun } from "./job_run.ts";
import type { OwnerEntry } from "./owner_entry.ts";
import type { StepRun } from "./step_run.ts";
import type { ResourceTime } from "./resource_time.ts";
import type { DayUsage } from "./usage.ts";

/**
 * The state of a scheduling domain: the jobs of its services and their
 * workers. Plain data, changed in place by `stepDomain` alone.
 */
export type Domain = {
  options: DomainOptions;
  /** The present owner, and earlier ones not known to have ended. */
  owners: OwnerEntry[];
  jobs: Map<string, JobRun>;
  /** Steps whose predecessors are done, by key, until they are done. */
  steps: Map<string, StepRun>;
  /** Steps with waiting tasks. */
  waiting: Set<StepRun>;
  /** Steps that want to ask the placement policy, the most urgent first. */
  wishes: StepRun[];
  workers: Map<string, DomainWorker>;
  /** Jobs with occurrences that are still to come. */
  scheduled: Set<JobRun>;
  /** What the driver has to do next. */
  commands: DomainCommand[];
  /** Keys whose records differ from the store's. */
  dirty: Set<string>;
  /** Share of workers that the policy allows, learned for each queue. */
  allowedShares: Map<string, number>;
  /** Mean duration of a task of each queue, learned, in milliseconds. */
  durations: Map<string, number>;
  /** What was used on each day, such as `2026-12-04`. */
  usage: Map<string, DayUsage>;
  /** Until when that is recorded, on the steady clock. */
  accruedAtMs: number | undefined;
  /** The room that the placed tasks of each agreement hold. */
  heldByAgreement: Map<string, Resources>;
  /** What was used since the last record, by agreement. */
  unrecordedUse: Map<string, ResourceTime>;
  /** Until when that is added up, on the steady clock. */
  integratedAtMs: number | undefined;
};

/**
 * Creates a domain without jobs and workers.
 *
 * @example
 * ```ts
 * const domain = createDomain({ endedJobKeepMs: 120_000 });
 * ```
 */
export function createDomain(options: DomainOptions): Domain {
  return {
    options,
    owners: [],
    jobs: new Map(),
    steps: new Map(),
    waiting: new Set(),
    wishes: [],
    workers: new Map(),
    scheduled: new Set(),
    commands: [],
    dirty: new Set(),
    allowedShares: new Map(),
    durations: new Map(),
    usage: new Map(),
    accruedAtMs: undefined,
    heldByAgreement: new Map(),
    unrecordedUse: new Map(),
    integratedAtMs: undefined,
  };
}
