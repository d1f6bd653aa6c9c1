import type { Settings } from "../settings/mod.ts";

/** Returns the base URL of the product's own API; undefined if not served. */
export function apiUrlOf({ listen }: Settings): string | undefined {
  const { api } = listen;
  return api === undefined ? undefined : `http://${api.host}:${api.port}`;
}
