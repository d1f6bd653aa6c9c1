import { ok, type Result } from "neverthrow";
import type { Fault } from "../hosts/mod.ts";
import type { RequestView } from "../model/mod.ts";
import type { ApiClient } from "./api_client.ts";
import { isFinal } from "./render_request.ts";

/** The longest wait that a single call requests, in milliseconds. */
export const MAX_WAIT_PER_CALL_MS = 20_000;

/**
 * Polls a request until its outcome is final, or until the wait times that
 * the calls requested add up to `waitMs`.
 *
 * @example
 * ```ts
 * const view = await awaitRequest(client, initialView, 60_000);
 * ```
 *
 * @param initialView the view of the request that was read last
 * @param waitMs the total wait time to request, in milliseconds
 */
export async function awaitRequest(
  client: ApiClient,
  initialView: RequestView,
  waitMs: number,
): Promise<Result<RequestView, Fault>> {
  let view = initialView;
  let remainingMs = waitMs;
  while (remainingMs > 0 && !isFinal(view.outcome)) {
    const callWaitMs = Math.min(remainingMs, MAX_WAIT_PER_CALL_MS);
    const response = await client.read(view.id, callWaitMs);
    if (response.isErr()) return response;
    view = response.value;
    remainingMs -= callWaitMs;
  }
  return ok(view);
}
