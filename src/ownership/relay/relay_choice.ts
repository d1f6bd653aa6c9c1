import { hash32 } from "../../base/mod.ts";

/** An instance that can hold links to workers. */
export type RelayPeer = { address: string; zone: string; cores: number };

/** Links that one relay holds as long as another one has fewer. */
const PREFERRED_LINKS_PER_RELAY = 128;
/** The least processor share of an instance that holds links, in cores. */
const MIN_RELAY_CORES = 0.3;

/**
 * Chooses the instance that holds the link to a worker: one in the worker's
 * availability zone, so that only batches leave it; among these the largest
 * that is not full, or else the one with the fewest links for its size.
 *
 * @param linkCountOf how many links an instance holds already
 * @param domainNumber its number; domains differ in what they choose among equals
 *
 * @example
 * ```ts
 * const relay = chooseRelay(peers, "kigali-a", (address) => 0, 3);
 * ```
 */
export function chooseRelay(
  peers: RelayPeer[],
  zone: string,
  linkCountOf: (address: string) => number,
  domainNumber: number,
): RelayPeer | undefined {
  const tieBreaker = ({ address }: RelayPeer) =>
    hash32(`${domainNumber}/${address}`);
  const candidates = peers
    .filter((peer) => peer.zone === zone && peer.cores >= MIN_RELAY_CORES)
    .sort((left, right) =>
      right.cores - left.cores || tieBreaker(left) - tieBreaker(right)
    );
  const belowLimit = candidates.find(({ address }) =>
    linkCountOf(address) < PREFERRED_LINKS_PER_RELAY
  );
  if (belowLimit !== undefined) return belowLimit;
  const load = ({ address, cores }: RelayPeer) => linkCountOf(address) / cores;
  return candidates.sort((left, right) => load(left) - load(right))[0];
}
