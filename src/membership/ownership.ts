import type { Instance, WorkerAddress } from "../model/mod.ts";
import { type Holder, holderOf } from "./holder.ts";
import type { Membership } from "./membership.ts";
import { rendezvousOrder } from "./rendezvous.ts";
import { heardMembers, membersOf } from "./views.ts";

/**
 * Tells which instance should own a worker: the first live member of its zone
 * in rendezvous order that does not report the worker unreachable. The order
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
  const candidates = membersOf(membership, worker.zone)
    .filter((instance) => !reportsUnreachable(membership, instance, worker.id));
  return rendezvousOrder(candidates, worker.rack)[0];
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
