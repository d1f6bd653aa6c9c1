import { hash32, memoize } from "../../base/mod.ts";

/** An instance that can serve as a relay. */
export type RelayPeer = { address: string; zone: string; cores: number };

/** A relay with this many links is passed over while another has fewer. */
const PREFERRED_LINKS_PER_RELAY = 128;
/** Minimum CPU share of a relay, in cores. */
const MIN_RELAY_CORES = 0.3;

/**
 * Chooses the relay for a worker's link. Only instances in the worker's
 * availability zone qualify, so that nothing but batches crosses zones. Among
 * these, it takes the one with the most cores that is below the preferred
 * number of links, or else the one with the fewest links per core.
 *
 * @param linkCountOf number of links that an instance already holds
 * @param tieBreakerOf orders equal instances
 *
 * @example
 * ```ts
 * const tieBreakerOf = createTieBreaker(3);
 * const relay = chooseRelay(peers, "kigali-a", (address) => 0, tieBreakerOf);
 * ```
 */
export function chooseRelay(
  peers: RelayPeer[],
  zone: string,
  linkCountOf: (address: string) => number,
  tieBreakerOf: (address: string) => number,
): RelayPeer | undefined {
  const candidates = peers
    .filter((peer) => peer.zone === zone && peer.cores >= MIN_RELAY_CORES)
    .sort((left, right) =>
      right.cores - left.cores ||
      tieBreakerOf(left.address) - tieBreakerOf(right.address)
    );
  const belowLimit = candidates.find(({ address }) =>
    linkCountOf(address) < PREFERRED_LINKS_PER_RELAY
  );
  if (belowLimit !== undefined) return belowLimit;
  const load = ({ address, cores }: RelayPeer) => linkCountOf(address) / cores;
  return candidates.sort((left, right) => load(left) - load(right))[0];
}

/**
 * Creates an order of instances that differs between domains. The hash of each
 * instance is computed once, as a new owner chooses a relay for each worker.
 *
 * @param domainNumber number of the domain
 *
 * @example
 * ```ts
 * const tieBreakerOf = createTieBreaker(3);
 * tieBreakerOf("10.1.0.30:7380");
 * ```
 */
export function createTieBreaker(
  domainNumber: number,
  hash: (text: string) => number = hash32,
): (address: string) => number {
  return memoize((address) => hash(`${domainNumber}/${address}`));
}

/**
 * Returns the instances without those that may be lost: earlier owners of the
 * domain that have not confirmed their end. A relay that is lost holds up the
 * workers whose links it is given until it is noticed.
 *
 * @example
 * ```ts
 * withoutEarlierOwners(peers, [{ instance: "10.1.0.30:7380" }]);
 * ```
 */
export function withoutEarlierOwners(
  peers: RelayPeer[],
  owners: { instance: string }[],
): RelayPeer[] {
  const earlier = new Set(owners.map(({ instance }) => instance));
  return peers.filter(({ address }) => !earlier.has(address));
}
