import * as v from "valibot";
import { manifestSchema } from "../model/mod.ts";
import {
  type ManifestFault,
  manifestFault,
  type PathSegment,
} from "./manifest_fault.ts";

/** How many unknown keys of one object are reported at most. */
const MAX_UNKNOWN_KEYS = 20;

/**
 * Finds everything that is at odds with the schema of a manifest.
 *
 * The schema reports one unknown key of each object; these keys are taken out
 * and the rest is checked again, so that a reader sees all of them.
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
