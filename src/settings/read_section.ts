import * as v from "valibot";
import type { IniSection } from "./ini_section.ts";
import {
  invalidValue,
  missingKey,
  type SettingsFault,
  unknownKey,
} from "./settings_fault.ts";
import { mayTolerateUnknown } from "./unknown_names.ts";

type ValueSchema = v.GenericSchema<unknown, unknown>;
type SectionSchema = v.ObjectSchema<Record<string, ValueSchema>, undefined>;

/** Key whose value is hidden in faults. */
const SECRET_KEY = "secret";

/**
 * Reads a section with fixed keys. Faults are appended to `faults`; keys with
 * faults are omitted from the result. Keys that the schema lacks are appended to
 * `unknown` where they may be tolerated; they are faults without it.
 *
 * @example
 * ```ts
 * const log = readSection("log", sections.log, ini.get("log"), faults);
 * ```
 */
export function readSection<Schema extends SectionSchema>(
  name: string,
  schema: Schema,
  given: IniSection,
  faults: SettingsFault[],
  unknown: SettingsFault[] = faults,
): Partial<v.InferOutput<Schema>> {
  const values: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(schema.entries)) {
    const read = readValue(name, key, value, given.get(key), faults);
    if (read !== undefined) values[key] = read;
  }
  const known = Object.keys(schema.entries);
  for (const key of given.keys()) {
    if (known.includes(key)) continue;
    const isTolerated = mayTolerateUnknown(name, [key]);
    (isTolerated ? unknown : faults).push(unknownKey(name, key, known));
  }
  return values as Partial<v.InferOutput<Schema>>;
}

/**
 * Reads a section whose keys are names and whose values are secrets of one
 * schema. Faults are appended to `faults` and hide the values.
 *
 * @example
 * ```ts
 * const operators = readNamedSecrets(
 *   "operators",
 *   nameSchema,
 *   tokenSchema,
 *   section,
 *   faults,
 * );
 * ```
 */
export function readNamedSecrets<Value>(
  name: string,
  keySchema: ValueSchema,
  valueSchema: v.GenericSchema<string, Value>,
  given: IniSection,
  faults: SettingsFault[],
): Record<string, Value> {
  const values: Record<string, Value> = {};
  for (const [key, texts] of given) {
    if (!v.is(keySchema, key)) {
      faults.push(unknownKey(name, key, [describeAllowedValues(keySchema)]));
      continue;
    }
    const parsed = v.safeParse(valueSchema, texts[0]);
    if (texts.length > 1) {
      faults.push(duplicateKey(name, key));
    } else if (parsed.success) {
      values[key] = parsed.output;
    } else {
      faults.push(
        invalidValue(name, key, "(hidden)", describeAllowedValues(valueSchema)),
      );
    }
  }
  return values;
}

/**
 * Returns the text on allowed values from the description of a schema.
 *
 * @example
 * ```ts
 * describeAllowedValues(nameSchema); // "1 to 63 of a-z, 0-9 and -, ..."
 * ```
 */
export function describeAllowedValues(schema: ValueSchema): string {
  if ("wrapped" in schema) {
    return describeAllowedValues(schema.wrapped as ValueSchema);
  }
  return v.getDescription(schema) ?? "a text";
}

function readValue(
  section: string,
  key: string,
  schema: ValueSchema,
  texts: string[] | undefined,
  faults: SettingsFault[],
): unknown {
  if (texts !== undefined && texts.length > 1) {
    faults.push(duplicateKey(section, key));
    return undefined;
  }
  const parsed = v.safeParse(schema, texts?.[0]);
  if (parsed.success) return parsed.output;
  const text = texts?.[0];
  const allowed = describeAllowedValues(schema);
  if (text === undefined) {
    faults.push(missingKey(section, key, allowed));
  } else {
    const shown = key === SECRET_KEY ? "(hidden)" : text;
    faults.push(invalidValue(section, key, shown, allowed));
  }
  return undefined;
}

function duplicateKey(section: string, key: string): SettingsFault {
  return invalidValue(section, key, "(given twice)", "one value");
}
