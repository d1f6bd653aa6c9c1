import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import {
  type CamelCaseKeys,
  camelCaseKeys,
  choice,
  nameSchema,
  parseIni,
  portSchema,
  readSection,
  type SettingsFault,
  socketAddressSchema,
  textSchema,
  unreadableSettings,
  wholeNumber,
} from "../settings/mod.ts";

const HOUR_MS = 3_600_000;

const decimalSchema = v.pipe(
  v.string(),
  v.regex(/^[0-9]+(\.[0-9]+)?$/),
  v.transform(Number),
  v.description("a decimal number, such as 0.5"),
);

const sections = {
  instance: v.object({
    id: nameSchema,
    zone: nameSchema,
    region: nameSchema,
    /** Share of a core that the instance has, such as 0.675. */
    cores: decimalSchema,
  }),
  listen: v.object({
    /** Where clients call. */
    callers: socketAddressSchema,
    /** Where the balancer asks whether the instance is ready. */
    readiness: socketAddressSchema,
    /** IP number for the other instances and for metrics. */
    internal_host: textSchema,
    peer_port: portSchema,
    metrics_port: portSchema,
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
    address: v.optional(v.string(), ""),
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

type Sections = typeof sections;

/** The settings of an entry instance that keeps its state in the store. */
export type EntrySettings = {
  [Name in keyof Sections]: CamelCaseKeys<v.InferOutput<Sections[Name]>>;
};

/**
 * Reads the settings from INI text; unknown sections are ignored.
 *
 * @example
 * ```ts
 * const settings = readEntrySettings(readFileSync(path, "utf8"));
 * ```
 *
 * @returns the settings, or every fault of the text at once
 */
export function readEntrySettings(
  text: string,
): Result<EntrySettings, SettingsFault[]> {
  const parsed = parseIni(text);
  if (parsed.isErr()) return err([unreadableSettings("text", parsed.error)]);
  const faults: SettingsFault[] = [];
  const entries = Object.entries(sections).map(([name, schema]) => {
    const given = parsed.value.get(name) ?? new Map();
    return [name, camelCaseKeys(readSection(name, schema, given, faults))];
  });
  if (faults.length > 0) return err(faults);
  return ok(Object.fromEntries(entries) as EntrySettings);
}
