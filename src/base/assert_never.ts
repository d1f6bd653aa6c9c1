/**
 * Marks a branch that the type checker proves unreachable.
 *
 * @example
 * ```ts
 * switch (policy.kind) {
 *   case "batch":
 *     return 1;
 *   default:
 *     return assertNever(policy.kind);
 * }
 * ```
 *
 * @param value the value that no case handled
 * @throws always, naming the value; happens only if unvalidated data was passed
 */
export function assertNever(value: never): never {
  throw new Error(`Unhandled case: ${JSON.stringify(value)}`);
}
