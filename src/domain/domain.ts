import type { ClientAccount, Resources } from "../model/mod.ts";
import type { AccountHold, AccountWait } from "./account_limits.ts";
import type { AccountRate } from "./account_rate.ts";
import type { AccountUse } from "./account_share.ts";
import { type CrashRates, createCrashRates } from "./crash_rates.ts";
import type { DepartedWorker } from "./departed_worker.ts";
import type { DomainCommand } from "./domain_command.ts";
import type { DomainOptions } from "./domain_options.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { createInterference, type Interference } from "./interference/mod.ts";
import type { JobRun } from "./job_run.ts";
import type { OwnerEntry } from "./owner_entry.ts";
import type { Shortages } from "./scheduling_pass.ts";
import type { StartPermit } from "./start_permit.ts";
import type { StepRun } from "./step_run.ts";
import type { ResourceTime } from "./resource_time.ts";
import type { DayUsage } from "./usage.ts";
import type { ServiceBacklog, WorkInflow } from "./work_backlog.ts";

/**
 * The state of a scheduling domain: the jobs of its services and their
 * workers. Plain data, which only the functions of this folder change in place.
 */
export type Domain = {
  options: DomainOptions;
  /** The current owner, and earlier ones that may still renew leases. */
  owners: OwnerEntry[];
  jobs: Map<string, JobRun>;
  /**
   * When jobs that the domain did not have were cancelled, by id, in
   * milliseconds since the epoch.
   */
  cancelledIds: Map<string, number>;
  /** Steps with all predecessors done, by key, until their job is compacted. */
  steps: Map<string, StepRun>;
  /** Steps with waiting tasks. */
  waitingSteps: Set<StepRun>;
  /** Steps that need advice of the placement policy, the most urgent first. */
  adviceQueue: StepRun[];
  workers: Map<string, DomainWorker>;
  /** Workers that left the list and may have crashed, by id. */
  departedWorkers: Map<string, DepartedWorker>;
  /** How often workers crash without a task that causes it. */
  crashRates: CrashRates;
  /** Which images raise the tail latency of services beside them. */
  interference: Interference;
  /** Permits to start tasks before their placement is stored, by worker. */
  startPermits: Map<string, StartPermit>;
  /** Whether the store has not answered for a while. */
  isStoreSilent: boolean;
  /**
   * Workers at which earlier owners may have started tasks that are not
   * recorded: they have not reported since the takeover.
   */
  unsettledWorkers: Set<string>;
  /** Whether runs of earlier owners may have ended without being listed. */
  hasUnlistedAttempts: boolean;
  /** Jobs with occurrences that are not due yet. */
  scheduledJobs: Set<JobRun>;
  /** Commands that the driver has yet to execute. */
  commands: DomainCommand[];
  /** Keys whose records have to be written to the store. */
  dirtyKeys: Set<string>;
  /** Running estimate of the share of workers that the policy allows. */
  allowedShareByQueue: Map<string, number>;
  /** Moving average of the duration of a queue's tasks, in milliseconds. */
  meanDurationMsByQueue: Map<string, number>;
  /** Recorded usage by day, such as `2026-12-04`. */
  usage: Map<string, DayUsage>;
  /** When usage was last recorded, on the steady clock. */
  usageRecordedAtMs: number | undefined;
  /** Resources allocated to the placed tasks of each agreement. */
  allocatedByAgreement: Map<string, Resources>;
  /** The client accounts of the configuration in force, by name. */
  clientAccounts: Map<string, ClientAccount>;
  /** Resources allocated to the placed tasks of each client account. */
  allocatedByAccount: Map<string, Resources>;
  /**
   * What the tasks of a client account may allocate in this domain; accounts
   * without an entry have no limit.
   */
  accountLimits: Map<string, Resources>;
  /** Client accounts of which steps wait for the limit, or lately did. */
  accountHolds: Map<string, AccountHold>;
  /**
   * Whether the configuration may be outdated, so that a cap may be lower than
   * it is known to be.
   */
  isConfigurationStale: boolean;
  /** What waits because of the limits of accounts, as of the last pass. */
  accountWaits: Map<string, AccountWait>;
  /** The client accounts with recent submissions. */
  accountRates: Map<string, AccountRate>;
  accountUse: AccountUse;
  /** The work that was accepted within the rates of accounts, by service. */
  workInflows: Map<string, WorkInflow>;
  /** The work that waits since the last pass, by service. */
  backlogs: Map<string, ServiceBacklog>;
  /** The tasks for which the last pass found no capacity. */
  shortages: Shortages;
  /** Usage since the last record, by agreement. */
  unrecordedUsage: Map<string, ResourceTime>;
  /** When `unrecordedUsage` was last updated, on the steady clock. */
  usageAccruedAtMs: number | undefined;
  /** Characters of the checkpoints it holds; see `keepCheckpoint`. */
  checkpointCharacters: number;
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
    cancelledIds: new Map(),
    steps: new Map(),
    waitingSteps: new Set(),
    adviceQueue: [],
    workers: new Map(),
    departedWorkers: new Map(),
    crashRates: createCrashRates(),
    interference: createInterference(),
    startPermits: new Map(),
    isStoreSilent: false,
    unsettledWorkers: new Set(),
    hasUnlistedAttempts: false,
    scheduledJobs: new Set(),
    commands: [],
    dirtyKeys: new Set(),
    allowedShareByQueue: new Map(),
    meanDurationMsByQueue: new Map(),
    usage: new Map(),
    usageRecordedAtMs: undefined,
    allocatedByAgreement: new Map(),
    clientAccounts: new Map(),
    allocatedByAccount: new Map(),
    accountLimits: new Map(),
    accountHolds: new Map(),
    isConfigurationStale: false,
    accountWaits: new Map(),
    accountRates: new Map(),
    accountUse: { shares: new Map(), updatedAtMs: undefined },
    workInflows: new Map(),
    backlogs: new Map(),
    shortages: new Map(),
    unrecordedUsage: new Map(),
    usageAccruedAtMs: undefined,
    checkpointCharacters: 0,
  };
}
