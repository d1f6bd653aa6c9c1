import { STATUS_CODES } from "node:http";
import type { FakeAnswer } from "./fake_instance.ts";

/**
 * Builds a canned response with a problem document.
 *
 * @example
 * ```ts
 * problemAnswer("GET /v1/requests/x", 404, 3007, "The request id ...", false);
 * ```
 */
export function problemAnswer(
  call: string,
  status: number,
  code: number,
  detail: string,
  ran?: false,
): FakeAnswer {
  const type = `urn:samphirestage:diagnostic:${code}`;
  const title = STATUS_CODES[status];
  return { call, status, body: { type, title, status, detail, code, ran } };
}
