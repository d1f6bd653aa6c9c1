import { parse } from "ini";

/** The values of one section of an INI file; a repeated key has several. */
export type IniSection = Map<string, string[]>;

/**
 * Parses INI text into its sections. Keys before the first section are filed
 * under the empty section name.
 *
 * @example
 * ```ts
 * parseIni("[log]\nlevel = info").get("log"); // Map { "level" => ["info"] }
 * ```
 */
export function parseIni(text: string): Map<string, IniSection> {
  const found = new Map<string, IniSection>();
  addSection(found, "", parse(text, { bracketedArray: false }));
  return found;
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
  const own = entries.filter(([_, value]) => !isSection(value));
  if (own.length > 0 || (entries.length === 0 && name !== "")) {
    found.set(name, new Map(own.map(([key, value]) => [key, textsOf(value)])));
  }
  for (const [key, value] of entries) {
    if (isSection(value)) addSection(found, nestedName(name, key), value);
  }
}

function textsOf(value: unknown): string[] {
  return Array.isArray(value) ? value.map(String) : [String(value)];
}

function nestedName(outer: string, inner: string): string {
  return outer === "" ? inner : `${outer}.${inner}`;
}

function isSection(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
