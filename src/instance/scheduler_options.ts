/** What a scheduler is told by its settings. */
export type SchedulerOptions = {
  /** Secret shared by the entry instances; signs request ids. */
  secret: string;
  /** Base URLs of peers to contact first. */
  seeds: string[];
  /** How far a request that finds no room may move. */
  spill: "zone" | "cluster";
  /** What placement weighs most. */
  preference: "waiting" | "cost";
  /** Interval between heartbeats within the zone, in milliseconds. */
  heartbeatMs: number;
  /** Interval between heartbeats to other zones, in milliseconds. */
  remoteHeartbeatMs: number;
  /** Silence after which a peer of the zone is barred, in milliseconds. */
  deadAfterMs: number;
  /** How long a worker may hold back the answer to a renewal, in ms. */
  renewWaitMs: number;
  /** Allowance for clock rates when a lease lapses, in milliseconds. */
  leaseMarginMs: number;
  /** Interval between reads of the instance list, in milliseconds. */
  listIntervalMs: number;
  /** Interval between usage records in the log, in milliseconds. */
  usageIntervalMs: number;
  /** How long a final outcome is remembered, in milliseconds. */
  outcomeRetentionMs: number;
  /** The most tasks that wait at once. */
  maxQueuedTasks: number;
};

/** Options that suit a cluster of today's size. */
export const DEFAULT_SCHEDULER_OPTIONS: Omit<
  SchedulerOptions,
  "secret" | "seeds"
> = {
  spill: "cluster",
  preference: "waiting",
  heartbeatMs: 1_000,
  remoteHeartbeatMs: 3_000,
  deadAfterMs: 3_000,
  renewWaitMs: 1_000,
  leaseMarginMs: 2_000,
  listIntervalMs: 5_000,
  usageIntervalMs: 60_000,
  outcomeRetentionMs: 600_000,
  maxQueuedTasks: 20_000,
};
