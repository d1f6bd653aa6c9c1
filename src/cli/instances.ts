import { ok, type Result } from "neverthrow";
import type { Fault } from "../hosts/mod.ts";
import type { Member } from "./answers/mod.ts";
import type { ApiClient } from "./api_client.ts";

/**
 * Finds the addresses of all instances that should answer, the one asked
 * first.
 *
 * @example
 * ```ts
 * const urls = await findInstances(client);
 * ```
 */
export async function findInstances(
  client: ApiClient,
): Promise<Result<string[], Fault>> {
  const status = await client.status();
  return status.andThen(({ members }) => {
    const peers = members.filter(shouldAnswer).map(({ url }) => url);
    return ok([client.connection.url, ...peers]);
  });
}

/**
 * Tells whether a peer should answer: it is live, or leaving.
 *
 * @example
 * ```ts
 * const peers = status.members.filter(shouldAnswer);
 * ```
 */
export function shouldAnswer({ state }: Member): boolean {
  return state === "live" || state === "leaving";
}
