import { once } from "node:events";
import type { Server } from "node:http";
import type { Clock } from "../hosts/mod.ts";
import { INSTANCES } from "./follow.ts";
import type { Running } from "./running.ts";
import type { Servers } from "./serve.ts";

/** Time between the last answers and the kill, in milliseconds. */
const STOP_MARGIN_MS = 1_500;
const STOP_POLL_MS = 50;
/** Time in which the balancer takes an instance out, in milliseconds. */
const BALANCER_NOTICE_MS = 2_500;

/**
 * The planned stop: the domains go to other instances first; calls that still
 * come over open connections are forwarded until shortly before the kill.
 */
export async function stopEntry(
  running: Running,
  servers: Servers,
): Promise<void> {
  const { platform, clock, logger, holder, member, ending, self } = running;
  const { signal } = ending;
  const graceMs = running.settings.stop.graceS * 1_000;
  const untilMs = clock.steadyMs() + graceMs - STOP_MARGIN_MS;
  logger.part("daemon").info("Stops as planned.", { graceMs });
  // Others find out by themselves where this does not reach the store.
  platform.store.append(
    INSTANCES,
    [{ key: self, value: undefined }],
    undefined,
    signal,
  );
  const left = await platform.store.leave(member, signal);
  if (left.isErr()) {
    logger.part("ownership").warn("The store did not take the leave.", {
      fault: left.error.kind,
      cause: left.error.message,
    });
  }
  if (holder.count() > 0) await handOver(running, untilMs);
  await waitForConnections(servers.callers, clock, untilMs);
  const closed = once(servers.callers, "close");
  servers.callers.close();
  servers.callers.closeIdleConnections();
  const waiting = new AbortController();
  await Promise.race([
    closed,
    clock.sleep(STOP_MARGIN_MS / 2, waiting.signal),
  ]);
  waiting.abort();
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
async function handOver(running: Running, untilMs: number): Promise<void> {
  const { clock, holder, ending } = running;
  await inviteSuccessor(running);
  while (holder.count() > 0 && clock.steadyMs() < untilMs) {
    await clock.sleep(STOP_POLL_MS, ending.signal);
  }
  await holder.close();
}

/** Asks the best candidate to take the domains over. */
async function inviteSuccessor(running: Running): Promise<void> {
  const { instances, rpc, self, logger } = running;
  for (const instance of instances.addresses()) {
    if (instance === self) continue;
    if (!await rpc.confirm(instance)) continue;
    logger.part("ownership").info("Invited a successor.", { instance });
    return;
  }
  logger.part("ownership").warn("Found no successor to invite.");
}

/** Waits until clients have left, or until a time. */
async function waitForConnections(
  server: Server,
  clock: Clock,
  untilMs: number,
): Promise<void> {
  const never = new AbortController().signal;
  const count = () =>
    new Promise<number>((resolve) => {
      server.getConnections((_error, connections) => resolve(connections));
    });
  // The balancer notices after two questions that the instance is not ready.
  const balancerMs = clock.steadyMs() + BALANCER_NOTICE_MS;
  while (clock.steadyMs() < untilMs) {
    const isLate = clock.steadyMs() > balancerMs;
    if (isLate && await count() === 0) return;
    await clock.sleep(STOP_POLL_MS, never);
  }
}
