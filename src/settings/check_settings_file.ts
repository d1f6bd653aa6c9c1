import { err, type Result } from "neverthrow";
import type { Environment } from "./environment_settings.ts";
import { readSettings } from "./read_settings.ts";
import { readTextFile } from "./read_text_file.ts";
import type { Settings } from "./settings.ts";
import { type SettingsFault, unreadableSettings } from "./settings_fault.ts";

/**
 * Reads and validates a settings file, and the settings in the environment.
 * Names that this build does not know are faults, unless `unknown` receives them.
 *
 * @example
 * ```ts
 * const settings = checkSettingsFile(path, process.env);
 * ```
 *
 * @returns the settings, or all faults
 */
export function checkSettingsFile(
  path: string,
  environment?: Environment,
  unknown?: SettingsFault[],
): Result<Settings, SettingsFault[]> {
  const text = readTextFile(path);
  if (text.isErr()) return err([unreadableSettings(path, text.error)]);
  return readSettings(text.value, environment, unknown);
}
