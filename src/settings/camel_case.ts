/** Converts a snake_case key type to camelCase. */
export type CamelCase<Key> = Key extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : Key;

/** Converts the snake_case keys of a record type to camelCase. */
export type CamelCaseKeys<Source> = {
  [Key in keyof Source as CamelCase<Key>]: Source[Key];
};

/**
 * Converts the keys of a record from snake_case to camelCase.
 *
 * @example
 * ```ts
 * camelCaseKeys({ max_ms: 2000 }); // { maxMs: 2000 }
 * ```
 */
export function camelCaseKeys<Source extends object>(
  record: Source,
): CamelCaseKeys<Source> {
  const entries = Object.entries(record)
    .map(([key, value]) => [toCamelCase(key), value]);
  return Object.fromEntries(entries);
}

function toCamelCase(key: string): string {
  return key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
