/** A snake_case key in camelCase. */
export type CamelCase<Key> = Key extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : Key;

/** A record with its snake_case keys in camelCase. */
export type CamelCaseKeys<Given> = {
  [Key in keyof Given as CamelCase<Key>]: Given[Key];
};

/**
 * Renames the keys of a record from snake_case to camelCase.
 *
 * @example
 * ```ts
 * camelCaseKeys({ margin_ms: 2000 }); // { marginMs: 2000 }
 * ```
 */
export function camelCaseKeys<Given extends object>(
  given: Given,
): CamelCaseKeys<Given> {
  const entries = Object.entries(given)
    .map(([key, value]) => [toCamelCase(key), value]);
  return Object.fromEntries(entries);
}

function toCamelCase(key: string): string {
  return key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
