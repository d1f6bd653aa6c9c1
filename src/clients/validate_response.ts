import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Fault } from "../hosts/mod.ts";
import { createFault } from "./create_fault.ts";

/**
 * Checks a successful answer against a schema. An answer that does not fit
 * leaves the effect of the call unknown.
 */
export function validateResponse<Value>(
  call: { step: string; peer: string },
  schema: v.GenericSchema<unknown, Value>,
  answer: Result<unknown, Fault>,
): Result<Value, Fault> {
  if (answer.isErr()) return err(answer.error);
  const parsed = v.safeParse(schema, answer.value);
  if (parsed.success) return ok(parsed.output);
  const [issue] = parsed.issues;
  const path = v.getDotPath(issue) ?? "the top";
  const cause = `${path}: ${issue.message}`;
  return err(
    createFault(call, "unknown", diagnostics.answerInvalid, [call.peer, cause]),
  );
}
