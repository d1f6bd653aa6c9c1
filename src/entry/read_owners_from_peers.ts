import type { InstanceList } from "./instance_list.ts";
import type { PeerRpc } from "./peer_rpc.ts";

/** How many instances are asked for the owners while the store is silent. */
export const MAX_PEERS_ASKED = 3;

/** What the search for the owners needs. */
export type OwnerLookupHost = {
  instances: InstanceList;
  rpc: PeerRpc;
  self: string;
};

/** Asks a few other instances who owns the domains. */
export async function readOwnersFromPeers(
  host: OwnerLookupHost,
): Promise<Record<string, string> | undefined> {
  const { instances, rpc, self } = host;
  const others = instances.addresses().filter((address) => address !== self);
  for (const address of others.slice(0, MAX_PEERS_ASKED)) {
    const owners = await rpc.owners(address);
    if (owners !== undefined && Object.keys(owners).length > 0) return owners;
  }
  return undefined;
}
