import type { KeyedRecord } from "../hosts/mod.ts";

/** The entry instances that have announced themselves. */
export type InstanceList = {
  /** Addresses of all of them, this one first. */
  addresses(): string[];
  apply(records: KeyedRecord[]): void;
};

/**
 * Creates a list that knows this instance only.
 *
 * @example
 * ```ts
 * const list = createInstanceList("10.1.0.30:7380");
 * ```
 */
export function createInstanceList(self: string): InstanceList {
  const others = new Set<string>();
  return {
    addresses: () => [self, ...others],
    apply(records) {
      for (const { key, value } of records) {
        if (key === self) continue;
        if (value === undefined) others.delete(key);
        else others.add(key);
      }
    },
  };
}
