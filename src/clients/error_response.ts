import type { Result } from "neverthrow";
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { createFault } from "./create_fault.ts";
import type { HttpRequest } from "./http_request.ts";

const FIRST_SERVER_ERROR_STATUS = 500;
/** Server errors that say that the call was turned down as a whole. */
const REFUSING_SERVER_ERROR_STATUSES = [503, 507];

const refusalSchema = v.union([
  v.object({
    code: v.number(),
    message: v.string(),
    data: v.optional(v.unknown()),
  }),
  v.pipe(
    v.object({ code: v.number(), title: v.string() }),
    v.transform(({ code, title }) => ({
      code,
      message: title,
      data: undefined,
    })),
  ),
]);

/**
 * Reads an answer that is no success. Without a numbered reason, or under a
 * status that a server in trouble sends, the effect stays unknown.
 */
export function parseErrorResponse(
  request: HttpRequest,
  status: number,
  body: Result<unknown, string>,
): Fault {
  const parsed = v.safeParse(refusalSchema, body.unwrapOr(undefined));
  if (!parsed.success || !isRefusingStatus(status)) {
    const cause = parsed.success ? parsed.output.message : "no reason given";
    return createFault(request, "unknown", diagnostics.callRefused, [
      request.peer,
      status,
      cause,
    ]);
  }
  const { code, message, data } = parsed.output;
  const { step, peer } = request;
  const fault: Fault = { kind: "refused", code, step, peer, message };
  return data === undefined ? fault : { ...fault, data };
}

function isRefusingStatus(status: number): boolean {
  return status < FIRST_SERVER_ERROR_STATUS ||
    REFUSING_SERVER_ERROR_STATUSES.includes(status);
}
