import * as v from "valibot";
import {
  choice,
  decimalSchema,
  numberFrom,
  optionalSecretSchema,
  optionalSocketAddressSchema,
  platformNameSchema,
  portSchema,
  socketAddressSchema,
  textSchema,
  wholeNumber,
} from "./values.ts";

const HOUR_MS = 3_600_000;

/**
 * Schemas of the sections with fixed keys, with keys as in the file. Defaults
 * are texts as they would be given in the file.
 */
export const sections = {
  instance: v.object({
    id: platformNameSchema,
    zone: platformNameSchema,
    region: platformNameSchema,
    /** CPU share of the instance, in cores, such as 0.675. */
    cores: decimalSchema,
  }),
  listen: v.object({
    /** Address for client calls. */
    callers: socketAddressSchema,
    /** Address for the readiness checks of the load balancer. */
    readiness: socketAddressSchema,
    /** IP address for the other instances and for metrics. */
    internal_host: textSchema,
    peer_port: portSchema,
    /** Number of consecutive ports for peers, the first of them `peer_port`. */
    peer_port_count: v.optional(wholeNumber(1, 16), "1"),
    metrics_port: portSchema,
    /** Address of the product's own API; empty to disable it. */
    api: v.optional(optionalSocketAddressSchema, ""),
  }),
  peers: v.object({
    /** Shared by all instances and sent as bearer token. */
    secret: v.optional(optionalSecretSchema, ""),
  }),
  store: v.object({
    address: textSchema,
    /** Number of partitions of each topic. */
    partitions: wholeNumber(1, 10_000),
    /** How long a member without heartbeats keeps its domains, in ms. */
    member_ttl_ms: numberFrom(100),
  }),
  configuration: v.object({
    /** How long after its revocation a key may be accepted, in ms. */
    revocation_bound_ms: v.optional(numberFrom(0), "5000"),
    /** Time after which an added key has to be accepted, in ms. */
    addition_bound_ms: v.optional(numberFrom(0), "4000"),
  }),
  advice: v.object({
    /** Address of the placement policy service; empty for none. */
    address: v.optional(
      v.pipe(v.string(), v.description("IP:PORT, or nothing")),
      "",
    ),
  }),
  workers: v.object({
    /** Interval at which a worker renews its entry in the list, in ms. */
    heartbeat_ms: numberFrom(1),
  }),
  lease: v.object({
    /** Longest lease that a worker accepts, in milliseconds. */
    max_ms: numberFrom(1),
  }),
  jobs: v.object({
    /** Retention of the records of ended jobs, in seconds. */
    keep_ended_s: numberFrom(0),
  }),
  accounts: v.object({
    /**
     * Nothing under the cap of a client account is started on a configuration
     * that was last known to be the newest one longer ago, in milliseconds.
     */
    max_configuration_age_ms: v.optional(wholeNumber(100, HOUR_MS), "3500"),
  }),
  stop: v.object({
    /** Time from SIGTERM to SIGKILL, in seconds. */
    grace_s: numberFrom(0),
  }),
  log: v.object({
    level: v.optional(choice("error", "warn", "info", "debug"), "info"),
  }),
  machine: v.object({
    /** Memory that the process may take, in MiB. */
    memory_mb: v.optional(numberFrom(1), "256"),
    /** Descriptors that the process may open. */
    descriptors: v.optional(numberFrom(1), "4096"),
  }),
  clients: v.object({
    /** Time for the first head of a connection, and for each further one. */
    head_timeout_ms: v.optional(wholeNumber(100, HOUR_MS), "15000"),
    /** Time in which a body may arrive at any rate, in milliseconds. */
    body_grace_ms: v.optional(wholeNumber(100, HOUR_MS), "15000"),
    /** Bytes of a body that have to arrive in each second beyond the grace. */
    body_bytes_per_s: v.optional(wholeNumber(1, 1_000_000), "4096"),
    /** How long an answer may wait to be read, in milliseconds. */
    unread_answer_ms: v.optional(wholeNumber(100, HOUR_MS), "30000"),
  }),
} as const;
