import * as v from "valibot";
import {
  invalidValue,
  missingKey,
  type SettingsFault,
} from "./settings_fault.ts";
import { allowedText } from "./read_section.ts";
import { secretSchema } from "./values.ts";

/** Reads a file that the settings name; it throws where it cannot. */
export type FileReader = (path: string) => string;

/** The two keys of which one gives the secret. */
type SecretKeys = {
  secret?: string | undefined;
  secret_file?: string | undefined;
};

/**
 * Finds the shared secret: in the settings themselves, or in the file that
 * they name. Exactly one of the two keys must be given.
 *
 * @example
 * ```ts
 * const secret = readSecret(cluster, readTextFile, faults);
 * ```
 *
 * @returns the secret, or undefined where a fault was added to the list
 */
export function readSecret(
  cluster: SecretKeys,
  readFile: FileReader,
  faults: SettingsFault[],
): string | undefined {
  const { secret, secret_file: path } = cluster;
  if (path === undefined) return secret;
  if (secret !== undefined) {
    faults.push(
      invalidValue("cluster", "secret_file", path, "secret or secret_file"),
    );
    return undefined;
  }
  return readSecretFile(path, readFile, faults);
}

/**
 * Builds the fault of settings that give no secret at all.
 *
 * @example
 * ```ts
 * faults.push(missingSecret());
 * ```
 */
export function missingSecret(): SettingsFault {
  return missingKey(
    "cluster",
    "secret",
    `${allowedText(secretSchema)}, or secret_file`,
  );
}

function readSecretFile(
  path: string,
  readFile: FileReader,
  faults: SettingsFault[],
): string | undefined {
  const content = tryRead(path, readFile);
  const secret = v.safeParse(secretSchema, content?.trim());
  if (secret.success) return secret.output;
  const allowed = `a readable file with ${allowedText(secretSchema)}`;
  faults.push(invalidValue("cluster", "secret_file", path, allowed));
  return undefined;
}

function tryRead(path: string, readFile: FileReader): string | undefined {
  try {
    return readFile(path);
  } catch {
    return undefined;
  }
}
