import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";

/** The values of one section of an INI file; a repeated key has several. */
export type IniSection = Map<string, string[]>;

/**
 * Parses INI text into its sections. Keys before the first section are filed
 * under the empty section name.
 *
 * @example
 * ```ts
 * parseIni("[log]\nlevel = info").map((ini) => ini.get("log"));
 * // ok(Map { "level" => ["info"] })
 * ```
 *
 * @returns the sections, or the cause where the parser gives up
 */
export function parseIni(
  text: string,
): Result<Map<string, IniSection>, string> {
  return tryParse(text).map((content) => {
    const found = new Map<string, IniSection>();
    addSection(found, "", content);
    return found;
  });
}

/** The parser throws at some keys in quotes, such as a repeated `'null'`. */
function tryParse(text: string): Result<Record<string, unknown>, string> {
  try {
    return ok(parse(text, { bracketedArray: false }));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}

/**
 * Adds a section and those nested in it: the parser nests sections whose
 * names have dots. A section that only holds others is none of its own.
 */
function addSection(
  found: Map<string, IniSection>,
  name: string,
  content: Record<string, unknown>,
): void {
  const entries = Object.entries(content);
  const values = entries.filter(([_, value]) => !isSection(value));
  if (values.length > 0 || (entries.length === 0 && name !== "")) {
    found.set(
      name,
      new Map(values.map(([key, value]) => [key, toStrings(value)])),
    );
  }
  for (const [key, value] of entries) {
    if (isSection(value)) addSection(found, qualifiedName(name, key), value);
  }
}

function toStrings(value: unknown): string[] {
  return Array.isArray(value) ? value.map(String) : [String(value)];
}

function qualifiedName(outer: string, inner: string): string {
  return outer === "" ? inner : `${outer}.${inner}`;
}

function isSection(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
