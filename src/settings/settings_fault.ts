import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";

/** Something wrong with one section or key of a settings file. */
export type SettingsFault = {
  /** Number of the diagnostic. */
  code: number;
  section: string;
  /** The key, where the fault concerns one. */
  key?: string;
  /** What the file gives; absent for a missing key, and for secrets. */
  given?: string;
  /** What may stand there. */
  allowed: string;
  message: string;
};

/**
 * Renders the faults of a settings file, one line each.
 *
 * @example
 * ```ts
 * formatSettingsFaults(faults);
 * // 'SS1002: [lease] margin_ms is "2s"; allowed: a whole number from ...'
 * ```
 */
export function formatSettingsFaults(faults: SettingsFault[]): string {
  return faults.map((fault) => `SS${fault.code}: ${fault.message}`).join("\n");
}

/**
 * Builds the fault of a key that must be given.
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
 * Builds the fault of a value that is not allowed.
 *
 * @example
 * ```ts
 * invalidValue("lease", "margin_ms", "2s", "a whole number");
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
 * Builds the fault of a key that the section does not have.
 *
 * @example
 * ```ts
 * unknownKey("log", "colour", ["level", "format"]);
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
 * Builds the fault of a section that settings do not have.
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
 * Builds the fault of settings that cannot be read at all.
 *
 * @example
 * ```ts
 * unreadableSettings("/etc/samphirestage.ini", "ENOENT");
 * ```
 *
 * @param source the file, or what else stands for it
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
