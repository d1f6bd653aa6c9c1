/** One difference between two manifests. */
export type ManifestDifference =
  /** A customer, agreement, kind of work or optional field was added. */
  | { kind: "added"; path: string; after: unknown }
  | { kind: "removed"; path: string; before: unknown }
  | { kind: "changed"; path: string; before: unknown; after: unknown };
