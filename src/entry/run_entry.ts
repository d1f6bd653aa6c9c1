/**
 * Runs an entry instance that keeps its state in the platform's store.
 *
 * @module
 */
import { once } from "node:events";
import process from "node:process";
import { joinGroup } from "../ownership/mod.ts";
import { apiUrlOf } from "./api_url.ts";
import {
  candidateWaitMs,
  hasWork,
  measureCandidateWait,
  wantedMembers,
} from "./candidacy.ts";
import type { EntryPlatform, PlatformHost } from "./entry_platform.ts";
import type { Settings } from "../settings/mod.ts";
import { announce, follow } from "./follow.ts";
import { createRunning } from "./running.ts";
import { serve } from "./serve.ts";
import { stopEntry } from "./stop_entry.ts";
import { surviveErrors } from "./survive_errors.ts";
import { superviseOwners } from "./supervise_owners.ts";
import { watchMembership, watchOwners } from "./watch.ts";

/**
 * Runs an entry instance until SIGTERM or SIGINT, then stops it as planned.
 *
 * @returns the exit code of the process
 *
 * @example
 * ```ts
 * process.exitCode = await runEntry(settings, connectPlatform);
 * ```
 */
export async function runEntry(
  settings: Settings,
  connect: (host: PlatformHost) => EntryPlatform,
): Promise<number> {
  // A log that nobody reads must not end the process.
  process.stdout.on("error", () => {});
  const running = createRunning(settings, connect);
  const { logger, stopping, ending, platform, callers } = running;
  logger.part("daemon").info("Started.", {
    zone: settings.instance.zone,
    address: running.self,
  });
  process.once("SIGTERM", () => stopping.abort());
  process.once("SIGINT", () => stopping.abort());
  process.on("SIGHUP", () => {
    logger.part("daemon").info("Reloaded: the settings hold until a restart.");
  });
  surviveErrors(logger.part("daemon"), running.counters, ending.signal);
  const servers = serve(running);
  follow(running);
  const ownWaitMs = await measureCandidateWait(running);
  const url = apiUrlOf(settings);
  announce(running, {
    candidateWaitMs: ownWaitMs,
    zone: settings.instance.zone,
    cores: settings.instance.cores,
    ...(url === undefined ? {} : { url }),
  });
  running.membership = joinGroup({
    store: platform.store,
    clock: running.clock,
    logger: logger.part("ownership"),
    member: running.member,
    requiredMembers: () => wantedMembers(running),
    hasWork: ({ partitions }) => hasWork(running, partitions),
    candidateWaitMs: (members) => candidateWaitMs(running, members),
    onAssignment: (assignment) => running.holder.assign(assignment),
    signal: stopping.signal,
  });
  watchMembership(running);
  watchOwners(running);
  superviseOwners(running);
  if (!stopping.signal.aborted) await once(stopping.signal, "abort");
  await stopEntry(running, servers);
  ending.abort();
  await Promise.all(callers.map((caller) => caller.close()));
  logger.part("daemon").info("Stopped.");
  await logger.close();
  return 0;
}
