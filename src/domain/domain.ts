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
  waitingSteps: Set<StepRun>;
  /** Steps that want to ask the placement policy, the most urgent first. */
  adviceQueue: StepRun[];
  workers: Map<string, DomainWorker>;
  /** Jobs with occurrences that are still to come. */
  scheduledJobs: Set<JobRun>;
  /** What the driver has to do next. */
  commands: DomainCommand[];
  /** Keys whose records differ from the store's. */
  dirtyKeys: Set<string>;
  /** Share of workers that the policy allows, learned for each queue. */
  allowedShareByQueue: Map<string, number>;
  /** Mean duration of a task of each queue, learned, in milliseconds. */
  meanDurationMsByQueue: Map<string, number>;
  /** What was used on each day, such as `2026-12-04`. */
  usage: Map<string, DayUsage>;
  /** Until when that is recorded, on the steady clock. */
  usageRecordedAtMs: number | undefined;
  /** The room that the placed tasks of each agreement hold. */
  reservedByAgreement: Map<string, Resources>;
  /** What was used since the last record, by agreement. */
  unrecordedUsage: Map<string, ResourceTime>;
  /** Until when that is added up, on the steady clock. */
  usageAccruedAtMs: number | undefined;
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
    waitingSteps: new Set(),
    adviceQueue: [],
    workers: new Map(),
    scheduledJobs: new Set(),
    commands: [],
    dirtyKeys: new Set(),
    allowedShareByQueue: new Map(),
    meanDurationMsByQueue: new Map(),
    usage: new Map(),
    usageRecordedAtMs: undefined,
    reservedByAgreement: new Map(),
    unrecordedUsage: new Map(),
    usageAccruedAtMs: undefined,
  };
}
