import { err, type Result } from "neverthrow";
import { readSettings } from "./read_settings.ts";
import { readTextFile } from "./read_text_file.ts";
import type { Settings } from "./settings.ts";
import { type SettingsFault, unreadableSettings } from "./settings_fault.ts";

/**
 * Reads and validates a settings file.
 *
 * @example
 * ```ts
 * const settings = checkSettingsFile("/etc/samphirestage/kigali-1.ini");
 * ```
 *
 * @returns the settings, or all faults of the file
 */
export function checkSettingsFile(
  path: string,
): Result<Settings, SettingsFault[]> {
  const text = readTextFile(path);
  if (text.isErr()) return err([unreadableSettings(path, text.error)]);
  return readSettings(text.value);
}
