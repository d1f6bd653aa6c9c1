import type { IniSection } from "./ini_section.ts";
import { sections } from "./sections.ts";
import { type SettingsFault, unknownVariable } from "./settings_fault.ts";
import { mayTolerateUnknown } from "./unknown_names.ts";

const VARIABLE_PREFIX = "SAMPHIRESTAGE_SETTING_";
/** How a platform writes that it has no value. */
const ABSENT_VALUES: readonly string[] = ["", "false"];

/** Environment variables by name, such as `process.env`. */
export type Environment = Readonly<Record<string, string | undefined>>;

/**
 * Returns the name of the environment variable that sets a key.
 *
 * @example
 * ```ts
 * settingVariable("machine", "memory_mb");
 * // "SAMPHIRESTAGE_SETTING_MACHINE_MEMORY_MB"
 * ```
 */
export function settingVariable(section: string, key: string): string {
  return VARIABLE_PREFIX + `${section}_${key}`.toUpperCase();
}

/**
 * Adds the settings that the environment holds to those of a file, which they
 * replace. An empty variable, or `false`, counts as absent, because a platform
 * that has no value for a variable sets it so. Variables that no key has are
 * appended to `unknown`, or to `faults` if one of them may have been meant to be
 * a secret.
 *
 * @example
 * ```ts
 * const ini = parseIni(text)._unsafeUnwrap();
 * addEnvironmentSettings(ini, process.env, faults, unknown);
 * ```
 */
export function addEnvironmentSettings(
  ini: Map<string, IniSection>,
  environment: Environment,
  faults: SettingsFault[],
  unknown: SettingsFault[],
): void {
  const keys = keysByVariable();
  for (const [variable, value = ""] of Object.entries(environment)) {
    if (!variable.startsWith(VARIABLE_PREFIX)) continue;
    const found = keys.get(variable);
    if (found === undefined) {
      const name = variable.slice(VARIABLE_PREFIX.length).toLowerCase();
      const isTolerated = mayTolerateUnknown(name.split("_")[0]!, [name]);
      (isTolerated ? unknown : faults)
        .push(unknownVariable(variable, [...keys.keys()]));
    } else if (!ABSENT_VALUES.includes(value)) {
      const { section, key } = found;
      ini.set(section, new Map(ini.get(section)).set(key, [value]));
    }
  }
}

function keysByVariable(): Map<string, { section: string; key: string }> {
  const keys = new Map<string, { section: string; key: string }>();
  for (const [section, { entries }] of Object.entries(sections)) {
    for (const key of Object.keys(entries)) {
      keys.set(settingVariable(section, key), { section, key });
    }
  }
  return keys;
}
