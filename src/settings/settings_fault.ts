import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";

/** An error in a section or key of a settings file. */
export type SettingsFault = {
  /** Code of the diagnostic. */
  code: number;
  section: string;
  /** The key, if the fault concerns one. */
  key?: string;
  /** The invalid value, `(hidden)` for a secret, or the unreadable source. */
  given?: string;
  /** Description of the allowed values. */
  allowed: string;
  message: string;
};

/**
 * Formats the faults of a settings file, one line each.
 *
 * @example
 * ```ts
 * formatSettingsFaults(faults);
 * // 'SS1002: [lease] max_ms is "2s"; allowed: a whole number from ...'
 * ```
 */
export function formatSettingsFaults(faults: SettingsFault[]): string {
  return faults.map((fault) => `SS${fault.code}: ${fault.message}`).join("\n");
}

/**
 * Creates the fault for a missing required key.
 *
 * @example
 * ```ts
 * missingKey("instance", "id", "a name");
 * ```
 */
export function missingKey(
  section: string,
  key: string,
  allowed: string,
): SettingsFault {
  const { settingMissing } = diagnostics;
  const message = formatDiagnostic(settingMissing, section, key, allowed);
  return { code: settingMissing.code, section, key, allowed, message };
}

/**
 * Creates the fault for a value that is not allowed.
 *
 * @example
 * ```ts
 * invalidValue("lease", "max_ms", "2s", "a whole number");
 * ```
 */
export function invalidValue(
  section: string,
  key: string,
  given: string,
  allowed: string,
): SettingsFault {
  const { settingInvalid } = diagnostics;
  const message = formatDiagnostic(
    settingInvalid,
    section,
    key,
    given,
    allowed,
  );
  return { code: settingInvalid.code, section, key, given, allowed, message };
}

/**
 * Creates the fault for a key that the section does not have.
 *
 * @example
 * ```ts
 * unknownKey("log", "colour", ["level"]);
 * ```
 */
export function unknownKey(
  section: string,
  key: string,
  known: readonly string[],
): SettingsFault {
  const { settingUnknown } = diagnostics;
  const allowed = known.join(", ");
  const message = formatDiagnostic(settingUnknown, section, key, allowed);
  return { code: settingUnknown.code, section, key, allowed, message };
}

/**
 * Creates the fault for an unknown section.
 *
 * @example
 * ```ts
 * unknownSection("logs", ["instance", "log"]);
 * ```
 */
export function unknownSection(
  section: string,
  known: readonly string[],
): SettingsFault {
  const { sectionUnknown } = diagnostics;
  const allowed = known.join(", ");
  const message = formatDiagnostic(sectionUnknown, section, allowed);
  return { code: sectionUnknown.code, section, allowed, message };
}

/**
 * Creates the fault for an environment variable that no key has.
 *
 * @example
 * ```ts
 * unknownVariable("SAMPHIRESTAGE_SETTING_LOG_LEVELS", known);
 * ```
 */
export function unknownVariable(
  variable: string,
  known: readonly string[],
): SettingsFault {
  const { variableUnknown } = diagnostics;
  const allowed = known.join(", ");
  const message = formatDiagnostic(variableUnknown, variable, allowed);
  return {
    code: variableUnknown.code,
    section: "",
    given: variable,
    allowed,
    message,
  };
}

/**
 * Creates the fault for settings that cannot be read or parsed.
 *
 * @example
 * ```ts
 * unreadableSettings("/etc/samphirestage.ini", "ENOENT");
 * ```
 *
 * @param source the path of the file, or another name of the source
 */
export function unreadableSettings(
  source: string,
  cause: string,
): SettingsFault {
  const { settingsUnreadable } = diagnostics;
  return {
    code: settingsUnreadable.code,
    section: "",
    given: source,
    allowed: "a readable INI file",
    message: formatDiagnostic(settingsUnreadable, source, cause),
  };
}
