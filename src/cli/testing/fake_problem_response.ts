import { STATUS_CODES } from "node:http";
import type { FakeResponse } from "./fake_instance.ts";

/**
 * Builds a canned response with a problem document.
 *
 * @example
 * ```ts
 * fakeProblemResponse("GET /v1/requests/x", 404, 3007, "The id ...", false);
 * ```
 */
export function fakeProblemResponse(
  call: string,
  status: number,
  code: number,
  detail: string,
  ran?: false,
): FakeResponse {
  const type = `urn:samphirestage:diagnostic:${code}`;
  const title = STATUS_CODES[status];
  return { call, status, body: { type, title, status, detail, code, ran } };
}
