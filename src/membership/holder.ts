import type { Instance } from "../model/mod.ts";

/** One incarnation of an instance, as workers know it: `id/incarnation`. */
export type Holder = string;

/**
 * Names the incarnation of an instance that holds workers.
 *
 * @example
 * ```ts
 * holderOf(instance); // "kigali-1/k3f9"
 * ```
 */
export function holderOf(
  instance: Pick<Instance, "id" | "incarnation">,
): Holder {
  return `${instance.id}/${instance.incarnation}`;
}

/**
 * Reads the instance id out of a holder.
 *
 * @example
 * ```ts
 * instanceIdOf("kigali-1/k3f9"); // "kigali-1"
 * ```
 */
export function instanceIdOf(holder: Holder): string {
  const slash = holder.indexOf("/");
  return slash < 0 ? holder : holder.slice(0, slash);
}
