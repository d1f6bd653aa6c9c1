import { parse } from "ini";
import { err, ok, type Result } from "neverthrow";

/** The values of an INI section by key; a repeated key has several. */
export type IniSection = Map<string, string[]>;

/**
 * Parses INI text into its sections. Keys before the first section belong to a
 * section with an empty name.
 *
 * @example
 * ```ts
 * parseIni("[log]\nlevel = info").map((ini) => ini.get("log"));
 * // ok(Map { "level" => ["info"] })
 * ```
 *
 * @returns the sections, or the parser's error message
 */
export function parseIni(
  text: string,
): Result<Map<string, IniSection>, string> {
  return tryParse(text).map((parsed) => {
    const sections = new Map<string, IniSection>();
    addSection(sections, "", parsed);
    return sections;
  });
}

/** Catches parser errors; quoted keys such as a repeated `'null'` throw. */
function tryParse(text: string): Result<Record<string, unknown>, string> {
  try {
    return ok(parse(text, { bracketedArray: false }));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}

/**
 * Adds a section and its nested sections to the map: the parser nests sections
 * whose names have dots. A section that contains only nested sections is not
 * added.
 */
function addSection(
  sections: Map<string, IniSection>,
  name: string,
  parsed: Record<string, unknown>,
): void {
  const entries = Object.entries(parsed);
  const values = entries.filter(([_, value]) => !isSection(value));
  if (values.length > 0 || (entries.length === 0 && name !== "")) {
    sections.set(
      name,
      new Map(values.map(([key, value]) => [key, toStrings(value)])),
    );
  }
  for (const [key, value] of entries) {
    if (isSection(value)) addSection(sections, qualifiedName(name, key), value);
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
