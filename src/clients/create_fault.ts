import {
  type DiagnosticMessage,
  formatDiagnostic,
} from "../diagnostics/mod.ts";
import type { Fault, FaultKind } from "../hosts/mod.ts";

/** Creates the fault of a call from an entry of the diagnostics table. */
export function createFault(
  call: { step: string; peer: string },
  kind: FaultKind,
  diagnostic: DiagnosticMessage,
  values: (string | number)[],
): Fault {
  return {
    kind,
    code: diagnostic.code,
    step: call.step,
    peer: call.peer,
    message: formatDiagnostic(diagnostic, ...values),
  };
}
