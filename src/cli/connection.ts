import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { urlSchema } from "../settings/mod.ts";
import type { Connection } from "./api_client.ts";
import { type ClientSettings, readClientSettings } from "./client_settings.ts";
import { type CommandFault, usageFault } from "./command_fault.ts";
import type { Environment } from "./terminal.ts";

const URL_VARIABLE = "SAMPHIRESTAGE_URL";
const TOKEN_VARIABLE = "SAMPHIRESTAGE_TOKEN";
/** Printable ASCII without spaces: valid in an HTTP header. */
const TOKEN_PATTERN = /^[!-~]+$/;

/** The definition of the output flag that every command accepts. */
export const outputArguments = {
  json: {
    type: "boolean",
    description: "Print the data as JSON",
  },
} as const;

/** The definitions of the flags of every command that calls an instance. */
export const connectionArguments = {
  ...outputArguments,
  url: {
    type: "string",
    description: `URL of an entry instance; else ${URL_VARIABLE}`,
  },
  token: {
    type: "string",
    description: `Bearer token; else ${TOKEN_VARIABLE}`,
  },
  settings: {
    type: "string",
    description: "INI file with url and token in its section [client]",
    valueHint: "file",
  },
} as const;

/** The parsed flags that select the instance and the token. */
export type ConnectionFlags = {
  url?: string | undefined;
  token?: string | undefined;
  settings?: string | undefined;
};

/**
 * Resolves the URL of the instance and the token. Flags take precedence over
 * environment variables, and these over the settings file.
 *
 * @example
 * ```ts
 * const connection = readConnection(args, terminal.environment);
 * ```
 */
export function readConnection(
  flags: ConnectionFlags,
  environment: Environment,
): Result<Connection, CommandFault> {
  const settings = readSettingsFile(flags);
  if (settings.isErr()) return err(settings.error);
  const { url, token } = settings.value;
  const chosenUrl = flags.url ?? environment[URL_VARIABLE] ?? url;
  const chosenToken = flags.token ?? environment[TOKEN_VARIABLE] ?? token;
  if (chosenToken !== undefined && !TOKEN_PATTERN.test(chosenToken)) {
    return err(
      usageFault(
        "The token contains characters that are not allowed in a token.",
      ),
    );
  }
  return checkUrl(chosenUrl).map((validUrl) =>
    createConnection(validUrl, chosenToken)
  );
}

function readSettingsFile(
  flags: ConnectionFlags,
): Result<ClientSettings, CommandFault> {
  if (flags.settings === undefined) return ok({});
  return readClientSettings(flags.settings);
}

function checkUrl(url: string | undefined): Result<string, CommandFault> {
  if (url === undefined) {
    const sources = `--url, ${URL_VARIABLE} or --settings`;
    return err(usageFault(`No instance URL is given; set ${sources}.`));
  }
  if (!v.is(urlSchema, url)) {
    return err(usageFault(`"${url}" is not an http:// or https:// URL.`));
  }
  return ok(url);
}

function createConnection(url: string, token: string | undefined): Connection {
  return token === undefined ? { url } : { url, token };
}
