import * as v from "valibot";
import {
  choice,
  decimalSchema,
  nameSchema,
  optionalSecretSchema,
  optionalSocketAddressSchema,
  portSchema,
  socketAddressSchema,
  textSchema,
  wholeNumber,
} from "./values.ts";

const HOUR_MS = 3_600_000;

/**
 * Schemas of the sections with fixed keys, by the keys of the file. A default
 * is written as the file would write it.
 */
export const sections = {
  instance: v.object({
    id: nameSchema,
    zone: nameSchema,
    region: nameSchema,
    /** Share of a core that the instance has, such as 0.675. */
    cores: decimalSchema,
  }),
  listen: v.object({
    /** Where clients of the platform call. */
    callers: socketAddressSchema,
    /** Where the balancer asks whether the instance is ready. */
    readiness: socketAddressSchema,
    /** IP number for the other instances and for metrics. */
    internal_host: textSchema,
    peer_port: portSchema,
    metrics_port: portSchema,
    /** Where the product's own interface is served; empty for nowhere. */
    api: v.optional(optionalSocketAddressSchema, ""),
  }),
  peers: v.object({
    /** The same at all instances; sent as bearer token. */
    secret: v.optional(optionalSecretSchema, ""),
  }),
  store: v.object({
    address: textSchema,
    /** Number of partitions of each topic. */
    partitions: wholeNumber(1, 10_000),
    /** How long a silent member keeps its domains, in milliseconds. */
    member_ttl_ms: wholeNumber(100, HOUR_MS),
  }),
  advice: v.object({
    /** Address of the placement policy; empty where there is none. */
    address: v.optional(
      v.pipe(v.string(), v.description("IP:PORT, or nothing")),
      "",
    ),
  }),
  workers: v.object({
    /** How often a worker confirms its entry in the list, in ms. */
    heartbeat_ms: wholeNumber(1, HOUR_MS),
  }),
  lease: v.object({
    /** The longest lease that a worker accepts, in milliseconds. */
    max_ms: wholeNumber(100, HOUR_MS),
  }),
  jobs: v.object({
    /** How long the record of an ended job is kept, in seconds. */
    keep_ended_s: wholeNumber(1, 1_000_000),
  }),
  stop: v.object({
    /** Time from SIGTERM to SIGKILL, in seconds. */
    grace_s: wholeNumber(1, 3_600),
  }),
  log: v.object({
    level: v.optional(choice("error", "warn", "info", "debug"), "info"),
  }),
} as const;
