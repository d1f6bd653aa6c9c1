import type { PeerRpc } from "./peer_rpc.ts";

/**
 * Whether other instances cannot reach an instance either; true if there are no
 * others. If none of them answers, this instance itself is assumed to be
 * partitioned.
 *
 * @example
 * ```ts
 * await isUnreachableFor(rpc, ["10.2.0.34:7380"], "10.1.0.30:7380");
 * ```
 */
export async function isUnreachableFor(
  rpc: Pick<PeerRpc, "reach">,
  others: string[],
  instance: string,
): Promise<boolean> {
  if (others.length === 0) return true;
  const answers = await Promise.all(
    others.map((other) => rpc.reach(other, instance)),
  );
  return answers.includes(false) && !answers.includes(true);
}
