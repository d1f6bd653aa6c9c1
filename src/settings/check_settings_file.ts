import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { err, type Result } from "neverthrow";
import { readSettings } from "./read_settings.ts";
import { readTextFile } from "./read_text_file.ts";
import type { FileReader } from "./secret.ts";
import type { Settings } from "./settings.ts";
import { type SettingsFault, unreadableSettings } from "./settings_fault.ts";

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
  const text = readTextFile(path);
  if (text.isErr()) return err([unreadableSettings(path, text.error)]);
  return readSettings(text.value, readBeside(path));
}

function readBeside(path: string): FileReader {
  return (named) => readFileSync(resolve(dirname(path), named), "utf8");
}
