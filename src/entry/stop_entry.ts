import { once } from "node:events";
import type { Server } from "node:http";
import type { Clock } from "../hosts/mod.ts";
import { INSTANCES_PARTITION } from "./follow_store_topics.ts";
import type { EntryContext } from "./entry_context.ts";
import type { Servers } from "./serve.ts";

/** Time reserved between the last answers and the kill, in milliseconds. */
const KILL_MARGIN_MS = 1_500;
/** How long calls may take after the server has closed, in milliseconds. */
const LAST_CALLS_MS = 700;
/** Time in which the calls that then still wait are answered, in milliseconds. */
const LAST_ANSWERS_MS = 200;
const POLL_INTERVAL_MS = 50;
/** Time in which the balancer removes an unready instance, in milliseconds. */
const BALANCER_REMOVAL_MS = 2_500;

/**
 * Stops the instance gracefully: hands its domains over first, then forwards
 * the calls that still arrive on open connections until shortly before the
 * process is killed.
 */
export async function stopEntry(
  context: EntryContext,
  servers: Servers,
): Promise<void> {
  const { platform, clock, logger, ownedDomains, member, ending, self } =
    context;
  const { signal } = ending;
  const graceMs = context.settings.stop.graceS * 1_000;
  const deadlineAtMs = clock.steadyMs() + graceMs - KILL_MARGIN_MS;
  logger.part("daemon").info("Stopping gracefully.", { graceMs });
  // Best effort: other instances detect the stop by themselves if the store
  // does not receive this.
  platform.store.append(
    INSTANCES_PARTITION,
    [{ key: self, value: undefined }],
    undefined,
    signal,
  );
  const result = await platform.store.leave(member, signal);
  if (result.isErr()) {
    logger.part("ownership").warn("Failed to leave the owner group.", {
      fault: result.error.kind,
      cause: result.error.message,
    });
  }
  if (ownedDomains.count() > 0) await handOverDomains(context, deadlineAtMs);
  await waitForClientsToDisconnect(servers.callers, clock, deadlineAtMs);
  // Both may take most of the time until the kill.
  await Promise.all([ownedDomains.close(), closeCallers(context, servers)]);
  await closeInternalServers(context, servers);
}

/** Closes the other servers; calls that wait for an outcome end first. */
async function closeInternalServers(
  { clock, ending }: EntryContext,
  { internal }: Servers,
): Promise<void> {
  const closed = Promise.all(internal.map((server) => once(server, "close")));
  for (const server of internal) {
    server.close();
    server.closeIdleConnections();
  }
  await Promise.race([closed, clock.sleep(LAST_ANSWERS_MS, ending.signal)]);
  for (const server of internal) server.closeAllConnections();
}

/** Closes the server for client calls once they have been answered. */
async function closeCallers(
  { clock, closing, ending }: EntryContext,
  { callers }: Servers,
): Promise<void> {
  const { signal } = ending;
  const closed = once(callers, "close");
  callers.close();
  callers.closeIdleConnections();
  await Promise.race([closed, clock.sleep(LAST_CALLS_MS, signal)]);
  closing.abort();
  await Promise.race([closed, clock.sleep(LAST_ANSWERS_MS, signal)]);
  callers.closeAllConnections();
}

/**
 * Keeps serving the domains until successors have taken them over, or until
 * the deadline, so that no call finds a domain without an owner.
 */
async function handOverDomains(
  context: EntryContext,
  deadlineAtMs: number,
): Promise<void> {
  const { clock, ownedDomains, ending } = context;
  await inviteSuccessor(context, deadlineAtMs);
  while (ownedDomains.count() > 0 && clock.steadyMs() < deadlineAtMs) {
    await clock.sleep(POLL_INTERVAL_MS, ending.signal);
  }
}

/**
 * Invites the candidates in order to take over the domains, until one accepts or
 * the deadline.
 */
async function inviteSuccessor(
  context: EntryContext,
  deadlineAtMs: number,
): Promise<void> {
  const { clock, instances, rpc, self, logger } = context;
  for (const instance of instances.addresses()) {
    if (instance === self) continue;
    if (clock.steadyMs() >= deadlineAtMs) break;
    if (!await rpc.confirm(instance)) continue;
    logger.part("ownership").info(
      "Asked a successor to take over the domains.",
      { instance },
    );
    return;
  }
  logger.part("ownership").warn("Found no successor to take over the domains.");
}

/** Waits until all clients have disconnected, or until the deadline. */
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
  // The balancer removes the instance after two failed readiness checks; before
  // that, clients may still open connections.
  const removedAtMs = clock.steadyMs() + BALANCER_REMOVAL_MS;
  while (clock.steadyMs() < deadlineAtMs) {
    const isRemoved = clock.steadyMs() > removedAtMs;
    if (isRemoved && await countConnections() === 0) return;
    await clock.sleep(POLL_INTERVAL_MS, neverAborted);
  }
}
