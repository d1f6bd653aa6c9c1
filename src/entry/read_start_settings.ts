import process from "node:process";
import type { Result } from "neverthrow";
import {
  type Environment,
  formatSettingsFaults,
  type Settings,
  type SettingsFault,
} from "../settings/mod.ts";
import { createLogger } from "../telemetry/mod.ts";

/** Reads settings; names that it does not know are appended to `unknown`. */
type SettingsReader = (
  path: string,
  environment: Environment,
  unknown: SettingsFault[],
) => Result<Settings, SettingsFault[]>;

/**
 * Reads the settings for a start, and logs faults to standard output, which is
 * often all that is kept of a process that does not start. Names that this build
 * does not know are logged and ignored, because the deploy file may be newer or
 * older than the programs.
 *
 * @example
 * ```ts
 * const settings = readStartSettings(checkSettingsFile, path, process.env);
 * ```
 *
 * @param read reads and validates a settings file, and the environment
 * @returns the settings, or all faults
 */
export function readStartSettings(
  read: SettingsReader,
  path: string,
  environment: Environment,
): Result<Settings, SettingsFault[]> {
  const unknown: SettingsFault[] = [];
  const settings = read(path, environment, unknown);
  const instance = settings.isOk() ? settings.value.instance.id : undefined;
  const logger = createLogger({
    level: "info",
    format: "json",
    process: instance ?? String(process.pid),
  }).part("daemon");
  for (const fault of unknown) {
    logger.warn("Ignored a setting that this build does not know.", {
      fault: formatSettingsFaults([fault]),
    });
  }
  if (settings.isErr()) {
    for (const fault of settings.error) {
      logger.error("The settings are invalid.", {
        path,
        fault: formatSettingsFaults([fault]),
      });
    }
  }
  return settings;
}
