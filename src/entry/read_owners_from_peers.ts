import type { InstanceList } from "./instance_list.ts";
import type { PeerRpc } from "./peer_rpc.ts";

/** Maximum number of instances that are queried about the owners. */
export const MAX_PEERS_QUERIED = 3;

/** Dependencies of the lookup. */
export type OwnerLookupHost = {
  instances: InstanceList;
  rpc: PeerRpc;
  self: string;
};

/**
 * Reads from a few other instances which addresses own the domains; undefined
 * if none of them knows any owner.
 */
export async function readOwnersFromPeers(
  host: OwnerLookupHost,
): Promise<Record<string, string> | undefined> {
  const { instances, rpc, self } = host;
  const others = instances.addresses().filter((address) => address !== self);
  for (const address of others.slice(0, MAX_PEERS_QUERIED)) {
    const owners = await rpc.owners(address);
    if (owners !== undefined && Object.keys(owners).length > 0) return owners;
  }
  return undefined;
}
