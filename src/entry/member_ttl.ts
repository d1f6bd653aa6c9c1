import type { Settings } from "../settings/mod.ts";

/**
 * Returns the silence after which the store takes the domains of an owner away,
 * in whole milliseconds: as set, unless the store accepts no time that short.
 *
 * @example
 * ```ts
 * memberTtlMs({ memberTtlMs: 1_300, memberTtlMinMs: 2_000 }); // 2_000
 * ```
 */
export function memberTtlMs(
  { memberTtlMs, memberTtlMinMs }: Pick<
    Settings["store"],
    "memberTtlMs" | "memberTtlMinMs"
  >,
): number {
  return Math.ceil(Math.max(memberTtlMs, memberTtlMinMs));
}
