/** Amounts of the resources, added up over a time. */
export type ResourceTime = {
  /** Thousandths of a core times milliseconds. */
  cpuMillisMs: number;
  /** MiB times milliseconds. */
  memoryMbMs: number;
  /** Accelerators times milliseconds. */
  acceleratorMs: number;
};

/** What one agreement used, or what was agreed with it. */
export type AgreementUsage = ResourceTime & {
  customer: string;
  agreement: string;
};

/** What one agreement used on a worker under one token. */
export type TokenUsage = AgreementUsage & { token: number };

/** One hour of one worker, of which records may still arrive. */
export type OpenHour = {
  hourMs: number;
  /** By token, customer and agreement. */
  usage: Map<string, TokenUsage>;
  /** Time during which the worker was observed, in milliseconds, by token. */
  observedMs: Map<number, number>;
};

/** The usage records of one worker. */
export type WorkerUsage = {
  /** Hours that start before this time are closed. */
  closedBeforeMs: number;
  /** Start of the last hour that was closed; undefined before the first. */
  lastClosedMs: number | undefined;
  /** In the order of their start. */
  open: OpenHour[];
};

/** What all workers together did on one day (UTC). */
export type DayUsage = {
  dayMs: number;
  /** Time of workers that was observed, in milliseconds. */
  observedMs: number;
  /** Time of workers that nobody observed, in milliseconds. */
  unobservedMs: number;
  /** What was used, by customer and agreement. */
  used: Map<string, AgreementUsage>;
  /** What the manifests in force agreed, by customer and agreement. */
  agreed: Map<string, AgreementUsage>;
};

/** Usage folded from the log: open hours by worker, closed ones by day. */
export type UsageState = {
  workers: Map<string, WorkerUsage>;
  days: Map<number, DayUsage>;
  /** How many records were not added: after the close, or misdated. */
  refusedRecords: number;
  /** Up to when the days contain what was agreed; undefined before any. */
  agreedUpToMs: number | undefined;
  /** The hour at which old days and workers were last dropped. */
  forgottenAtMs: number;
};

/**
 * Creates the usage of a log without records.
 *
 * @example
 * ```ts
 * const usage = createUsageState();
 * ```
 */
export function createUsageState(): UsageState {
  return {
    workers: new Map(),
    days: new Map(),
    refusedRecords: 0,
    agreedUpToMs: undefined,
    forgottenAtMs: 0,
  };
}
