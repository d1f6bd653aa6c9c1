import { ok, type Result } from "neverthrow";
import type { Fault } from "../hosts/mod.ts";
import type { RequestView } from "../model/mod.ts";
import type { ApiClient } from "./api_client.ts";
import { isFinal } from "./render_request.ts";

/** The longest wait that a single call asks for, in milliseconds. */
export const LONGEST_WAIT_MS = 20_000;

/**
 * Polls a request until its outcome is final, or until the wait times that
 * the calls asked for add up to `waitMs`.
 *
 * @example
 * ```ts
 * const view = await awaitRequest(client, first, 60_000);
 * ```
 *
 * @param first the view of the request that was read last
 * @param waitMs the total wait time to ask for, in milliseconds
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
