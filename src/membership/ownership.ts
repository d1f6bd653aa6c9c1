import type { Instance, WorkerAddress } from "../model/mod.ts";
import { type Holder, holderOf } from "./holder.ts";
import type { Membership } from "./membership.ts";
import { rendezvousOrder } from "./rendezvous.ts";
import {
  heardMembers,
  membersOf,
  memberState,
  vouchedHolders,
} from "./views.ts";

/**
 * Tells which instance should own a worker: the first member of its zone that
 * is live, here or at a live peer, in rendezvous order that does not report the worker unreachable. The order
 * goes by rack, so that one instance can start a gang on a whole rack.
 *
 * @example
 * ```ts
 * if (desiredOwner(membership, worker)?.id === self.id) acquire(worker);
 * ```
 *
 * @returns undefined where no such member is known
 */
export function desiredOwner(
  membership: Membership,
  worker: WorkerAddress,
): Instance | undefined {
  const candidates = ownersOf(membership, worker.zone)
    .filter((instance) => !reportsUnreachable(membership, instance, worker.id));
  return rendezvousOrder(candidates, worker.rack)[0];
}

/**
 * Lists the instances that may own workers of a zone: the live members, and
 * those that this instance does not hear but live peers do. Otherwise two
 * members that are cut off from each other would take workers from each other
 * for as long as the cut lasts.
 */
function ownersOf(membership: Membership, zone: string): Instance[] {
  const owners = membersOf(membership, zone);
  if (zone !== membership.self.zone) return owners;
  for (const holder of vouchedHolders(membership)) {
    const member = membership.members.get(holder);
    if (member === undefined || member.heartbeat.leaving) continue;
    if (memberState(membership, holder) === "dead") {
      owners.push(member.instance);
    }
  }
  return owners;
}

/**
 * Tells who holds a worker by the latest heartbeats, and under which token;
 * the highest token counts.
 *
 * @example
 * ```ts
 * const hint = ownerHint(membership, "worker-7");
 * ```
 */
export function ownerHint(
  membership: Membership,
  workerId: string,
): { holder: Holder; token: number } | undefined {
  let best: { holder: Holder; token: number } | undefined;
  const own = membership.held.get(workerId);
  if (own) best = { holder: holderOf(membership.self), token: own.token };
  for (const member of heardMembers(membership)) {
    const held = member.heartbeat.held.find((entry) =>
      entry.worker === workerId
    );
    if (!held || (best && best.token >= held.token)) continue;
    best = { holder: holderOf(member.instance), token: held.token };
  }
  return best;
}

function reportsUnreachable(
  membership: Membership,
  instance: Instance,
  workerId: string,
): boolean {
  if (instance.id === membership.self.id) {
    return membership.unreachable.has(workerId);
  }
  const member = membership.members.get(holderOf(instance));
  return member?.heartbeat.unreachable.includes(workerId) ?? false;
}
