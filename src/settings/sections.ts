import * as v from "valibot";
import {
  choice,
  ipUrlListSchema,
  ipUrlSchema,
  nameSchema,
  portSchema,
  secretSchema,
  socketAddressSchema,
  textSchema,
  urlSchema,
  wholeNumber,
} from "./values.ts";

const DAY_MS = 86_400_000;
const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const MOST_TASKS = 10_000_000;
const MOST_BYTES = 1_073_741_824;

/**
 * Schemas of the sections with fixed keys, by the keys of the file. A default
 * is written as the file would write it.
 */
export const sections = {
  instance: v.object({
    id: nameSchema,
    zone: nameSchema,
    region: nameSchema,
    /** Base URL under which peers reach this instance. */
    url: ipUrlSchema,
    listen: socketAddressSchema,
  }),
  cluster: v.object({
    secret: v.optional(secretSchema),
    /** File that holds the secret. */
    secret_file: v.optional(textSchema),
    /** Peers to ask for the members of the cluster at the start. */
    seeds: v.optional(ipUrlListSchema, ""),
    /** What weighs more: short waiting, or low cost of control. */
    preference: v.optional(choice("waiting", "cost"), "waiting"),
    /** How far a request that finds no room may move. */
    spill: v.optional(choice("zone", "cluster"), "cluster"),
  }),
  platform: v.object({
    log_url: urlSchema,
    list_url: urlSchema,
    list_interval_ms: v.optional(wholeNumber(100, HOUR_MS), "5000"),
    usage_interval_ms: v.optional(wholeNumber(100, HOUR_MS), "60000"),
  }),
  lease: v.object({
    heartbeat_ms: v.optional(wholeNumber(10, MINUTE_MS), "1000"),
    dead_after_ms: v.optional(wholeNumber(20, DAY_MS), "3000"),
    renew_wait_ms: v.optional(wholeNumber(1, MINUTE_MS), "1000"),
    margin_ms: v.optional(wholeNumber(0, DAY_MS), "2000"),
  }),
  limits: v.object({
    max_queued_tasks: v.optional(wholeNumber(1, MOST_TASKS), "20000"),
    max_body_bytes: v.optional(wholeNumber(1024, MOST_BYTES), "1048576"),
    body_timeout_ms: v.optional(wholeNumber(1, DAY_MS), "10000"),
    max_connections: v.optional(wholeNumber(1, 1_000_000), "1000"),
    stop_grace_ms: v.optional(wholeNumber(0, DAY_MS), "30000"),
  }),
  log: v.object({
    level: v.optional(choice("error", "warn", "info", "debug"), "info"),
    format: v.optional(choice("line", "json"), "line"),
  }),
} as const;

/** Schema of the section that turns metrics on. */
export const metricsSection = v.object({
  /** Host of the StatsD daemon. */
  host: textSchema,
  port: v.optional(portSchema, "8125"),
  /** Text before the name of each metric. */
  prefix: v.optional(textSchema, "samphirestage."),
});
