import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import {
  formatSettingsFaults,
  type IniSection,
  parseIni,
  readSection,
  readTextFile,
  type SettingsFault,
  tokenSchema,
  unknownSection,
  urlSchema,
} from "../settings/mod.ts";
import { type CommandFault, commandFault } from "./command_fault.ts";
import { exitCodes } from "./exit_codes.ts";

const SECTION = "client";

const clientSettingsSchema = v.object({
  url: v.optional(urlSchema),
  token: v.optional(tokenSchema),
});

/** The URL and token that a client settings file provides. */
export type ClientSettings = Partial<
  v.InferOutput<typeof clientSettingsSchema>
>;

/**
 * Reads a client settings file: INI with one section, `[client]`, whose
 * optional keys are `url` and `token`.
 *
 * @example
 * ```ts
 * const settings = readClientSettings("samphirestage.ini");
 * ```
 *
 * @returns the settings, or one fault that lists every error in the file
 */
export function readClientSettings(
  path: string,
): Result<ClientSettings, CommandFault> {
  return readIniFile(path).andThen((ini) => {
    const faults: SettingsFault[] = [];
    for (const name of ini.keys()) {
      if (name !== SECTION) faults.push(unknownSection(name, [SECTION]));
    }
    const entries = ini.get(SECTION) ?? new Map();
    const settings = readSection(
      SECTION,
      clientSettingsSchema,
      entries,
      faults,
    );
    return faults.length === 0
      ? ok(settings)
      : err(invalidSettingsFault(path, faults));
  });
}

function readIniFile(
  path: string,
): Result<Map<string, IniSection>, CommandFault> {
  const { settingsUnreadable } = diagnostics;
  return readTextFile(path).andThen(parseIni).mapErr((cause) =>
    commandFault(exitCodes.usage, settingsUnreadable, path, cause)
  );
}

function invalidSettingsFault(
  path: string,
  faults: SettingsFault[],
): CommandFault {
  const { settingsUnreadable } = diagnostics;
  return {
    exitCode: exitCodes.usage,
    code: settingsUnreadable.code,
    message: formatDiagnostic(
      settingsUnreadable,
      path,
      `${faults.length} faults`,
    ),
    details: formatSettingsFaults(faults).split("\n"),
  };
}
