import { once } from "node:events";
import type { Server } from "node:http";
import type { Clock } from "../hosts/mod.ts";
import { INSTANCES_PARTITION } from "./follow_store_topics.ts";
import type { EntryContext } from "./entry_context.ts";
import type { Servers } from "./serve.ts";

/** Time between the last answers and the kill, in milliseconds. */
const KILL_MARGIN_MS = 1_500;
const POLL_INTERVAL_MS = 50;
/** Time in which the balancer takes an instance out, in milliseconds. */
const BALANCER_REMOVAL_MS = 2_500;

/**
 * The planned stop: the domains go to other instances first; calls that still
 * come over open connections are forwarded until shortly before the kill.
 */
export async function stopEntry(
  context: EntryContext,
  servers: Servers,
): Promise<void> {
  const { platform, clock, logger, holder, member, ending, self } = context;
  const { signal } = ending;
  const graceMs = context.settings.stop.graceS * 1_000;
  const deadlineAtMs = clock.steadyMs() + graceMs - KILL_MARGIN_MS;
  logger.part("daemon").info("Stops as planned.", { graceMs });
  // Others find out by themselves where this does not reach the store.
  platform.store.append(
    INSTANCES_PARTITION,
    [{ key: self, value: undefined }],
    undefined,
    signal,
  );
  const result = await platform.store.leave(member, signal);
  if (result.isErr()) {
    logger.part("ownership").warn("The store did not take the leave.", {
      fault: result.error.kind,
      cause: result.error.message,
    });
  }
  if (holder.count() > 0) await handOverDomains(context, deadlineAtMs);
  await waitForClientsToDisconnect(servers.callers, clock, deadlineAtMs);
  const closed = once(servers.callers, "close");
  servers.callers.close();
  servers.callers.closeIdleConnections();
  const closeTimeout = new AbortController();
  await Promise.race([
    closed,
    clock.sleep(KILL_MARGIN_MS / 2, closeTimeout.signal),
  ]);
  closeTimeout.abort();
  servers.callers.closeAllConnections();
  for (const server of servers.internal) {
    server.close();
    server.closeAllConnections();
  }
}

/**
 * Serves the domains until successors have taken them over, or until a time,
 * so that no call finds a domain without an owner.
 */
async function handOverDomains(
  context: EntryContext,
  deadlineAtMs: number,
): Promise<void> {
  const { clock, holder, ending } = context;
  await inviteSuccessor(context);
  while (holder.count() > 0 && clock.steadyMs() < deadlineAtMs) {
    await clock.sleep(POLL_INTERVAL_MS, ending.signal);
  }
  await holder.close();
}

/** Asks the best candidate to take the domains over. */
async function inviteSuccessor(context: EntryContext): Promise<void> {
  const { instances, rpc, self, logger } = context;
  for (const instance of instances.addresses()) {
    if (instance === self) continue;
    if (!await rpc.confirm(instance)) continue;
    logger.part("ownership").info("Invited a successor.", { instance });
    return;
  }
  logger.part("ownership").warn("Found no successor to invite.");
}

/** Waits until clients have left, or until a time. */
async function waitForClientsToDisconnect(
  server: Server,
  clock: Clock,
  deadlineAtMs: number,
): Promise<void> {
  const neverAborted = new AbortController().signal;
  const countConnections = () =>
    new Promise<number>((resolve) => {
      server.getConnections((_error, connections) => resolve(connections));
    });
  // The balancer notices after two questions that the instance is not ready.
  const removedAtMs = clock.steadyMs() + BALANCER_REMOVAL_MS;
  while (clock.steadyMs() < deadlineAtMs) {
    const isRemoved = clock.steadyMs() > removedAtMs;
    if (isRemoved && await countConnections() === 0) return;
    await clock.sleep(POLL_INTERVAL_MS, neverAborted);
  }
}
