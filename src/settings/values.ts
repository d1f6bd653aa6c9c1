/**
 * Schemas of the values in settings files. The description of each schema names
 * the allowed values in faults.
 *
 * @module
 */
import { isIP } from "node:net";
import * as v from "valibot";

const MAX_PORT = 65_535;

/** What a platform calls a machine or a place: ASCII without blanks. */
const PLATFORM_NAME_PATTERN = /^[!-~]{1,255}$/;
/** Names of customers and operators, as in the manifest. */
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
/** A number as JSON, TOML and common number formatting write it. */
const NUMBER_PATTERN = /^[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?$/;
/** The characters of a bearer token, as in RFC 6750. */
const TOKEN_PATTERN = /^[A-Za-z0-9._~+/-]{8,}=*$/;

/** An IP address and a port. */
export type SocketAddress = { host: string; port: number };

/** Schema of a name. */
export const nameSchema = v.pipe(
  v.string(),
  v.regex(NAME_PATTERN),
  v.description("1 to 63 of a-z, 0-9 and -, starting with a letter or digit"),
);

/** Schema of a name that the platform has given. */
export const platformNameSchema = v.pipe(
  v.string(),
  v.regex(PLATFORM_NAME_PATTERN),
  v.description("1 to 255 printable characters of ASCII without blanks"),
);

/** Schema of a bearer token. */
export const tokenSchema = v.pipe(
  v.string(),
  v.regex(TOKEN_PATTERN),
  v.description("a token of at least 8 of A-Z, a-z, 0-9 and ._~+/-"),
);

/** Schema of a list of bearer tokens. */
export const tokenListSchema = v.pipe(
  v.string(),
  v.transform(splitCommaList),
  v.array(tokenSchema),
  v.minLength(1),
  v.description(
    "a comma list of tokens of at least 8 of A-Z, a-z, 0-9 and ._~+/-",
  ),
);

/** Schema of an HTTP or HTTPS base URL. */
export const urlSchema = v.pipe(
  v.string(),
  v.check(isHttpUrl),
  v.description("an http:// or https:// URL"),
);

/** Schema of a socket address to listen on. */
export const socketAddressSchema = v.pipe(
  v.string(),
  v.check((text) => isIpUrl(`http://${text}`)),
  v.transform(parseSocketAddress),
  v.description("IP:PORT by IP number, such as 127.0.0.1:8001"),
);

/** Schema of a text that is not empty. */
export const textSchema = v.pipe(
  v.string(),
  v.nonEmpty(),
  v.description("a text that is not empty"),
);

/** Schema of a secret that instances share, or an empty text. */
export const optionalSecretSchema = v.pipe(
  v.string(),
  v.regex(/^([A-Za-z0-9._~+/-]{16,}=*)?$/),
  v.description(
    "a secret of at least 16 of A-Z, a-z, 0-9 and ._~+/-, or nothing",
  ),
);

/** Schema of a socket address to listen on, or an empty text. */
export const optionalSocketAddressSchema = v.pipe(
  v.string(),
  v.check((text) => text === "" || isIpUrl(`http://${text}`)),
  v.transform((text) => text === "" ? undefined : parseSocketAddress(text)),
  v.description("IP:PORT by IP number, or nothing"),
);

const numericTextSchema = v.pipe(
  v.string(),
  v.regex(NUMBER_PATTERN),
  v.transform(Number),
  v.maxValue(Number.MAX_SAFE_INTEGER),
);

/** Schema of a decimal number. */
export const decimalSchema = v.pipe(
  numericTextSchema,
  v.description("a decimal number, such as 0.5"),
);

/** Schema of a port. */
export const portSchema = wholeNumber(1, MAX_PORT);

/**
 * Creates the schema of an integer between two inclusive bounds. `6.0` and `6e3`
 * are integers, too: a platform may write all its numbers in this way.
 *
 * @example
 * ```ts
 * const partitions = wholeNumber(1, 10_000);
 * ```
 */
export function wholeNumber(min: number, max: number) {
  return v.pipe(
    numericTextSchema,
    v.integer(),
    v.minValue(min),
    v.maxValue(max),
    v.description(`a whole number from ${min} to ${max}`),
  );
}

/**
 * Creates the schema of a number with a lower bound, such as a duration or an
 * amount of memory, which may have a fraction. There is no upper bound, since
 * the platform decides how much it grants.
 *
 * @example
 * ```ts
 * const graceS = numberFrom(0);
 * ```
 */
export function numberFrom(min: number) {
  return v.pipe(
    numericTextSchema,
    v.minValue(min),
    v.description(`a number of at least ${min}`),
  );
}

/**
 * Creates the schema of a value out of a fixed set of words.
 *
 * @example
 * ```ts
 * const format = choice("line", "json");
 * ```
 */
export function choice<const Word extends string>(...words: Word[]) {
  return v.pipe(
    v.string(),
    v.picklist(words),
    v.description(words.join(" or ")),
  );
}

function splitCommaList(text: string): string[] {
  return text.split(",").map((part) => part.trim()).filter(isNotEmpty);
}

function isNotEmpty(text: string): boolean {
  return text !== "";
}

function isHttpUrl(text: string): boolean {
  const url = parseUrl(text);
  return url?.protocol === "http:" || url?.protocol === "https:";
}

function isIpUrl(text: string): boolean {
  const match = /^http:\/\/(\[[^\]]+\]|[^:/]+):([0-9]{1,5})$/.exec(text);
  if (match === null) return false;
  const port = Number(match[2]);
  return isIP(stripBrackets(match[1] ?? "")) !== 0 && port > 0 &&
    port <= MAX_PORT;
}

function parseSocketAddress(text: string): SocketAddress {
  const colon = text.lastIndexOf(":");
  return {
    host: stripBrackets(text.slice(0, colon)),
    port: Number(text.slice(colon + 1)),
  };
}

function stripBrackets(host: string): string {
  return host.startsWith("[") ? host.slice(1, -1) : host;
}

function parseUrl(text: string): URL | undefined {
  try {
    return new URL(text);
  } catch {
    return undefined;
  }
}
