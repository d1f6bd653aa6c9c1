import { err, ok, type Result } from "neverthrow";
import { camelCaseKeys } from "./camel_case.ts";
import {
  addEnvironmentSettings,
  type Environment,
} from "./environment_settings.ts";
import { type IniSection, parseIni } from "./ini_section.ts";
import { readNamedSecrets, readSection } from "./read_section.ts";
import { sections } from "./sections.ts";
import type { Settings } from "./settings.ts";
import { mayTolerateUnknown } from "./unknown_names.ts";
import {
  invalidValue,
  type SettingsFault,
  unknownSection,
  unreadableSettings,
} from "./settings_fault.ts";
import { nameSchema, tokenListSchema, tokenSchema } from "./values.ts";

/** The names of all sections, in documentation order. */
export const SECTION_NAMES: readonly string[] = [
  ...Object.keys(sections),
  "customers",
  "operators",
];

/**
 * Reads the settings of an entry instance from INI text and, where a variable
 * sets a key, from the environment.
 *
 * @example
 * ```ts
 * const settings = readSettings(text, process.env);
 * if (settings.isErr()) console.error(formatSettingsFaults(settings.error));
 * ```
 *
 * @param text the content of the settings file
 * @param unknown receives the sections, keys and variables that this build does
 *   not know and ignores; they are faults if it is absent
 * @returns the settings, or all faults of the text
 */
export function readSettings(
  text: string,
  environment?: Environment,
  unknown?: SettingsFault[],
): Result<Settings, SettingsFault[]> {
  const parsed = parseIni(text);
  if (parsed.isErr()) return err([unreadableSettings("text", parsed.error)]);
  const ini = parsed.value;
  const faults: SettingsFault[] = [];
  addUnknownSections(ini, faults, unknown ?? faults);
  addEnvironmentSettings(ini, environment ?? {}, faults, unknown ?? faults);
  const fixedSections = Object.entries(sections).map(([name, schema]) => [
    name,
    camelCaseKeys(
      readSection(name, schema, getSection(ini, name), faults, unknown),
    ),
  ]);
  const customers = readNamedSecrets(
    "customers",
    nameSchema,
    tokenListSchema,
    getSection(ini, "customers"),
    faults,
  );
  const operators = readNamedSecrets(
    "operators",
    nameSchema,
    tokenSchema,
    getSection(ini, "operators"),
    faults,
  );
  faults.push(...duplicateTokens(customers, operators));
  if (faults.length > 0) return err(faults);
  return ok(
    { ...Object.fromEntries(fixedSections), customers, operators } as Settings,
  );
}

function getSection(ini: Map<string, IniSection>, name: string): IniSection {
  return ini.get(name) ?? new Map();
}

function addUnknownSections(
  ini: Map<string, IniSection>,
  faults: SettingsFault[],
  unknown: SettingsFault[],
): void {
  for (const [name, section] of ini) {
    if (SECTION_NAMES.includes(name)) continue;
    const isTolerated = mayTolerateUnknown(name, section.keys());
    (isTolerated ? unknown : faults).push(unknownSection(name, SECTION_NAMES));
  }
}

/** Reports tokens given to more than one customer or operator, or twice. */
function* duplicateTokens(
  customers: Record<string, string[]>,
  operators: Record<string, string>,
): Generator<SettingsFault> {
  const seen = new Set<string>();
  const assignments = [
    ...Object.entries(customers).flatMap(([name, tokens]) =>
      tokens.map((token) => ["customers", name, token] as const)
    ),
    ...Object.entries(operators).map(([name, token]) =>
      ["operators", name, token] as const
    ),
  ];
  for (const [section, name, token] of assignments) {
    if (seen.has(token)) {
      yield invalidValue(
        section,
        name,
        "(hidden)",
        "a token that no other customer or operator has",
      );
    }
    seen.add(token);
  }
}
