import { hash32 } from "../../base/mod.ts";

/** An instance that can hold links to workers. */
export type RelayPeer = { address: string; zone: string; cores: number };

/** Links that one relay holds as long as another one has fewer. */
const LINKS_PER_RELAY = 128;
/** The least processor share of an instance that holds links, in cores. */
const LEAST_CORES = 0.3;

/**
 * Chooses the instance that holds the link to a worker: one in the worker's
 * availability zone, so that only batches leave it; among these the largest
 * that is not full, or else the one with the fewest links for its size.
 *
 * @param linksAt how many links an instance holds already
 * @param domain its number; domains differ in what they choose among equals
 *
 * @example
 * ```ts
 * const relay = chooseRelay(peers, "kigali-a", (address) => 0, 3);
 * ```
 */
export function chooseRelay(
  peers: RelayPeer[],
  zone: string,
  linksAt: (address: string) => number,
  domain: number,
): RelayPeer | undefined {
  const place = ({ address }: RelayPeer) => hash32(`${domain}/${address}`);
  const inZone = peers
    .filter((peer) => peer.zone === zone && peer.cores >= LEAST_CORES)
    .sort((left, right) =>
      right.cores - left.cores || place(left) - place(right)
    );
  const free = inZone.find(({ address }) => linksAt(address) < LINKS_PER_RELAY);
  if (free !== undefined) return free;
  const load = ({ address, cores }: RelayPeer) => linksAt(address) / cores;
  return inZone.sort((left, right) => load(left) - load(right))[0];
}
