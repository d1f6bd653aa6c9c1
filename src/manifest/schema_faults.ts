import * as v from "valibot";
import { manifestSchema } from "../model/mod.ts";
import {
  type ManifestFault,
  manifestFault,
  type PathSegment,
} from "./manifest_fault.ts";

/** Maximum number of unknown keys reported for one object. */
const MAX_UNKNOWN_KEYS = 20;

/**
 * Lists all violations of the manifest schema.
 *
 * Validation reports only one unknown key of each object. These keys are
 * removed and the remaining value is validated again, so that all of them are
 * reported.
 *
 * @example
 * ```ts
 * const faults = schemaFaults(JSON.parse(text));
 * ```
 */
export function schemaFaults(json: unknown): ManifestFault[] {
  const remaining = structuredClone(json);
  const unknownKeys: ManifestFault[] = [];
  for (let pass = 0;; pass++) {
    const parsed = v.safeParse(manifestSchema, remaining);
    const issues = parsed.issues ?? [];
    const unknown = issues.filter(isUnknownKey);
    if (unknown.length === 0 || pass === MAX_UNKNOWN_KEYS) {
      return [...unknownKeys, ...issues.map(toFault)];
    }
    unknownKeys.push(...unknown.map(toFault));
    unknown.forEach(removeUnknownKey);
  }
}

type Issue = v.InferIssue<typeof manifestSchema>;

function isUnknownKey(issue: Issue): boolean {
  return issue.type === "strict_object" && issue.expected === "never";
}

function toFault(issue: Issue): ManifestFault {
  return manifestFault(pathOf(issue), causeOf(issue));
}

function pathOf(issue: Issue): PathSegment[] {
  return (issue.path ?? []).map((item) => item.key as PathSegment);
}

function causeOf(issue: Issue): string {
  if (isUnknownKey(issue)) return "this key is not known";
  if (issue.received === "undefined") return "this key is missing";
  return `${issue.received} is given; allowed: ${formatAllowed(issue)}`;
}

function formatAllowed(issue: Issue): string {
  return issue.expected ?? String(issue.requirement);
}

function removeUnknownKey(issue: Issue): void {
  const item = issue.path?.at(-1);
  if (item === undefined) return;
  delete (item.input as Record<string, unknown>)[item.key as string];
}
