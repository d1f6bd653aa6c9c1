import { hash32 } from "../base/mod.ts";
import type { Instance } from "../model/mod.ts";

/**
 * Orders instances by their rendezvous weight for a key, highest first. The
 * order is the same everywhere, and an instance that comes or goes moves only
 * the keys of which it was or becomes the first.
 *
 * @example
 * ```ts
 * const [home] = rendezvousOrder(instances, key);
 * ```
 */
export function rendezvousOrder(
  instances: Instance[],
  key: string,
): Instance[] {
  return instances
    .map((instance) => ({ instance, weight: hash32(instance.id, key) }))
    .sort(compareWeight)
    .map((entry) => entry.instance);
}

type Weighted = { instance: Instance; weight: number };

function compareWeight(left: Weighted, right: Weighted): number {
  if (left.weight !== right.weight) return right.weight - left.weight;
  return left.instance.id < right.instance.id ? -1 : 1;
}
