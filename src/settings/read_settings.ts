import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import type * as v from "valibot";
import { camelCaseKeys } from "./camel_case.ts";
import { type IniSection, parseIni } from "./ini_section.ts";
import { readNames, readSection } from "./read_section.ts";
import { relationFaults } from "./relations.ts";
import { type FileReader, missingSecret, readSecret } from "./secret.ts";
import { metricsSection, sections } from "./sections.ts";
import type { Settings } from "./settings.ts";
import {
  type SettingsFault,
  unknownSection,
  unreadableSettings,
} from "./settings_fault.ts";
import { nameSchema, tokenListSchema, tokenSchema } from "./values.ts";

/** The names of all sections, in the order in which they are documented. */
export const SECTION_NAMES: readonly string[] = [
  ...Object.keys(sections),
  "customers",
  "operators",
  "metrics",
];

/**
 * Reads the settings of an entry instance from INI text.
 *
 * @example
 * ```ts
 * const settings = readSettings(text);
 * if (settings.isErr()) console.error(formatSettingsFaults(settings.error));
 * ```
 *
 * @param text the content of the settings file
 * @param readFile reads the file of the secret; it throws where it cannot
 * @returns the settings, or every fault of the text at once
 */
export function readSettings(
  text: string,
  readFile: FileReader = readTextFile,
): Result<Settings, SettingsFault[]> {
  const parsed = parseIni(text);
  if (parsed.isErr()) return err([unreadableSettings("text", parsed.error)]);
  const ini = parsed.value;
  const faults = [...unknownSections(ini)];
  const values = readSections(ini, faults);
  const secret = readSecret(values.cluster, readFile, faults);
  if (secret === undefined && !concernsSecret(faults)) {
    faults.push(missingSecret());
  }
  faults.push(...relationFaults(values));
  if (faults.length > 0 || secret === undefined) return err(faults);
  return ok(toSettings(values as CompleteValues, secret));
}

type Sections = typeof sections;
type Metrics = v.InferOutput<typeof metricsSection>;

/** What was read of the text, without the values at fault. */
type Values =
  & {
    [Name in keyof Sections]: Partial<v.InferOutput<Sections[Name]>>;
  }
  & {
    customers: Record<string, string[]>;
    operators: Record<string, string>;
    metrics: Partial<Metrics> | undefined;
  };

/** What was read of a text without faults. */
type CompleteValues =
  & { [Name in keyof Sections]: v.InferOutput<Sections[Name]> }
  & Pick<Values, "customers" | "operators">
  & { metrics: Metrics | undefined };

function readSections(
  ini: Map<string, IniSection>,
  faults: SettingsFault[],
): Values {
  return {
    instance: readFixed("instance", ini, faults),
    cluster: readFixed("cluster", ini, faults),
    platform: readFixed("platform", ini, faults),
    lease: readFixed("lease", ini, faults),
    limits: readFixed("limits", ini, faults),
    log: readFixed("log", ini, faults),
    customers: readNames(
      "customers",
      nameSchema,
      tokenListSchema,
      sectionOf(ini, "customers"),
      faults,
    ),
    operators: readNames(
      "operators",
      nameSchema,
      tokenSchema,
      sectionOf(ini, "operators"),
      faults,
    ),
    metrics: readMetrics(ini, faults),
  };
}

function readFixed<Name extends keyof Sections>(
  name: Name,
  ini: Map<string, IniSection>,
  faults: SettingsFault[],
): Partial<v.InferOutput<Sections[Name]>> {
  return readSection(name, sections[name], sectionOf(ini, name), faults);
}

function readMetrics(
  ini: Map<string, IniSection>,
  faults: SettingsFault[],
): Partial<Metrics> | undefined {
  const given = ini.get("metrics");
  if (given === undefined) return undefined;
  return readSection("metrics", metricsSection, given, faults);
}

function sectionOf(ini: Map<string, IniSection>, name: string): IniSection {
  return ini.get(name) ?? new Map();
}

function* unknownSections(
  ini: Map<string, IniSection>,
): Generator<SettingsFault> {
  for (const name of ini.keys()) {
    if (!SECTION_NAMES.includes(name)) {
      yield unknownSection(name, SECTION_NAMES);
    }
  }
}

function concernsSecret(faults: SettingsFault[]): boolean {
  return faults.some((fault) =>
    fault.section === "cluster" && fault.key?.startsWith("secret")
  );
}

function toSettings(values: CompleteValues, secret: string): Settings {
  const { secret: _, secret_file: __, ...cluster } = values.cluster;
  const settings: Settings = {
    instance: camelCaseKeys(values.instance),
    cluster: { ...camelCaseKeys(cluster), secret },
    platform: camelCaseKeys(values.platform),
    lease: camelCaseKeys(values.lease),
    limits: camelCaseKeys(values.limits),
    log: camelCaseKeys(values.log),
    customers: values.customers,
    operators: values.operators,
  };
  if (values.metrics !== undefined) {
    settings.metrics = camelCaseKeys(values.metrics);
  }
  return settings;
}

function readTextFile(path: string): string {
  return readFileSync(path, "utf8");
}
