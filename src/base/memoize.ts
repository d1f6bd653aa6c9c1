/**
 * Returns a function that computes the value of each key once. It keeps all
 * values, so the number of keys has to be bounded.
 *
 * @example
 * ```ts
 * const hashOf = memoize(hash32);
 * hashOf("ledger");
 * ```
 */
export function memoize<Value>(
  compute: (key: string) => Value,
): (key: string) => Value {
  const values = new Map<string, Value>();
  return (key) => {
    const known = values.get(key);
    if (known !== undefined || values.has(key)) return known as Value;
    const value = compute(key);
    values.set(key, value);
    return value;
  };
}
