/**
 * The ports on which the other instances call this one. Each has a queue of new
 * connections of its own, and an iteration of the event loop accepts one from
 * each. A busy instance with many new connections therefore answers late on a
 * port, but not on the others.
 *
 * @module
 */
import type { Settings } from "../settings/mod.ts";

type Listen = Pick<
  Settings["listen"],
  "internalHost" | "peerPort" | "peerPortCount"
>;

/**
 * Returns the ports for peers.
 *
 * @example
 * ```ts
 * peerPorts({ internalHost: "10.1.0.30", peerPort: 7380, peerPortCount: 2 });
 * // [7380, 7381]
 * ```
 */
export function peerPorts({ peerPort, peerPortCount }: Listen): number[] {
  return Array.from({ length: peerPortCount }, (_, index) => peerPort + index);
}

/**
 * Returns the address for the reports of relays: the last port for peers, apart
 * from the connections of other calls.
 *
 * @example
 * ```ts
 * reportAddress({ internalHost: "10.1.0.30", peerPort: 7380, peerPortCount: 2 });
 * // "10.1.0.30:7381"
 * ```
 */
export function reportAddress(listen: Listen): string {
  return `${listen.internalHost}:${peerPorts(listen).at(-1)}`;
}
