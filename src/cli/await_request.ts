import { ok, type Result } from "neverthrow";
import type { Fault } from "../hosts/mod.ts";
import type { RequestView } from "../model/mod.ts";
import type { ApiClient } from "./api_client.ts";
import { isFinal } from "./render_request.ts";

/** The longest that one call asks an instance to wait, in milliseconds. */
export const LONGEST_WAIT_MS = 20_000;

/**
 * Reads a request until its outcome is final, or until the waiting time that
 * the calls have asked for is used up.
 *
 * @example
 * ```ts
 * const view = await awaitRequest(client, first, 60_000);
 * ```
 *
 * @param first what is known of the request already
 * @param waitMs the waiting time to ask for in all, in milliseconds
 */
export async function awaitRequest(
  client: ApiClient,
  first: RequestView,
  waitMs: number,
): Promise<Result<RequestView, Fault>> {
  let view = first;
  let leftMs = waitMs;
  while (leftMs > 0 && !isFinal(view.outcome)) {
    const sliceMs = Math.min(leftMs, LONGEST_WAIT_MS);
    const read = await client.read(view.id, sliceMs);
    if (read.isErr()) return read;
    view = read.value;
    leftMs -= sliceMs;
  }
  return ok(view);
}
