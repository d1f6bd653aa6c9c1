import type { Result } from "neverthrow";
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { createFault } from "./create_fault.ts";
import type { HttpRequest } from "./http_request.ts";

const FIRST_SERVER_ERROR_STATUS = 500;
/** Server error statuses that can be a refusal: the call had no effect. */
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
 * Converts a response with an error status to a fault. The fault is a refusal
 * only if the body has a diagnostic code and the status is a client error, 503
 * or 507; otherwise the effect of the call is unknown.
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
