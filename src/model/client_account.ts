import * as v from "valibot";
import {
  RESOURCE_NAMES,
  type Resources,
  resourcesSchema,
  UNLIMITED_RESOURCES,
} from "./resources.ts";

/** Schema of a client account: who calls, and what it may use. */
export const clientAccountSchema = v.object({
  name: v.pipe(v.string(), v.minLength(1)),
  /** The keys that identify its calls. */
  keys: v.array(v.pipe(v.string(), v.minLength(1))),
  /** 0 is the highest. */
  priority: v.number(),
  /** Submissions per second that it may count on; its share under load. */
  weight: v.number(),
  /**
   * What its tasks may allocate on all workers of all services together; 0 of a
   * resource is no limit.
   */
  cap: resourcesSchema,
});

/** A client account: who calls, and what it may use. */
export type ClientAccount = v.InferOutput<typeof clientAccountSchema>;

/**
 * The cap of an account as amounts that can be compared: a resource without a
 * cap is unlimited.
 *
 * @returns undefined if no resource has a cap
 *
 * @example
 * ```ts
 * capOf(account)?.cpuMillis; // Infinity if only the memory has a cap
 * ```
 */
export function capOf({ cap }: ClientAccount): Resources | undefined {
  if (RESOURCE_NAMES.every((name) => cap[name] === 0)) return undefined;
  const limits = { ...UNLIMITED_RESOURCES };
  for (const name of RESOURCE_NAMES) {
    if (cap[name] > 0) limits[name] = cap[name];
  }
  return limits;
}
