import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { createFault } from "./create_fault.ts";

/**
 * Validates the body of a successful response against a schema. If it does
 * not match, the fault has kind `unknown`, because the call may have taken
 * effect.
 */
export function validateResponse<Value>(
  call: { step: string; peer: string },
  schema: v.GenericSchema<unknown, Value>,
  response: Result<unknown, Fault>,
): Result<Value, Fault> {
  if (response.isErr()) return err(response.error);
  const parsed = v.safeParse(schema, response.value);
  if (parsed.success) return ok(parsed.output);
  const [issue] = parsed.issues;
  const path = v.getDotPath(issue) ?? "the top";
  const cause = `${path}: ${issue.message}`;
  return err(
    createFault(call, "unknown", diagnostics.answerInvalid, [call.peer, cause]),
  );
}
