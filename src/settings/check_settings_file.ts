import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { err, type Result } from "neverthrow";
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import { readSettings } from "./read_settings.ts";
import type { Settings } from "./settings.ts";
import type { SettingsFault } from "./settings_fault.ts";

/**
 * Reads and checks a settings file. The path of a secret's file counts from
 * the folder of the settings file.
 *
 * @example
 * ```ts
 * const settings = checkSettingsFile("/etc/samphirestage/kigali-1.ini");
 * ```
 *
 * @returns the settings, or every fault of the file at once
 */
export function checkSettingsFile(
  path: string,
): Result<Settings, SettingsFault[]> {
  const text = tryRead(path);
  if (text instanceof Error) return err([unreadable(path, text)]);
  return readSettings(text, readBeside(path));
}

function readBeside(path: string): (named: string) => string {
  return (named) => readFileSync(resolve(dirname(path), named), "utf8");
}

function tryRead(path: string): string | Error {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    return error instanceof Error ? error : new Error(String(error));
  }
}

function unreadable(path: string, error: Error): SettingsFault {
  const { settingsUnreadable } = diagnostics;
  const cause = "code" in error ? String(error.code) : error.message;
  return {
    code: settingsUnreadable.code,
    section: "",
    given: path,
    allowed: "a readable file",
    message: formatDiagnostic(settingsUnreadable, path, cause),
  };
}
