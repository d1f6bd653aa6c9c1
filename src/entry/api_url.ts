import type { Settings } from "../settings/mod.ts";

/** Base URL of the product's own interface; undefined where it is not served. */
export function apiUrlOf({ listen }: Settings): string | undefined {
  const { api } = listen;
  return api === undefined ? undefined : `http://${api.host}:${api.port}`;
}
