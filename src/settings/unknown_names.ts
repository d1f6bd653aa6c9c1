/** Sections whose mistyped keys would let anybody in, instead of a few. */
const GUARDED_SECTIONS: readonly string[] = ["peers"];
const SECRET = /secret/;

/**
 * Whether a daemon may start though it does not know a section, or some of its
 * keys. Deploy files and programs can differ by a version, so unknown names are
 * tolerated; a name that may have been meant for a secret is not, because
 * without it the secret would be missing.
 *
 * @example
 * ```ts
 * mayTolerateUnknown("store", ["compression"]); // true
 * mayTolerateUnknown("peer", ["secret"]); // false
 * ```
 *
 * @param section the name of the section; empty for keys before the first one
 * @param keys the unknown keys, or all keys of an unknown section
 */
export function mayTolerateUnknown(
  section: string,
  keys: Iterable<string>,
): boolean {
  if (section === "" || GUARDED_SECTIONS.includes(section)) return false;
  return ![...keys].some((key) => SECRET.test(key));
}
