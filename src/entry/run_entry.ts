/**
 * Runs an entry instance that keeps its state in the platform's store.
 *
 * @module
 */
import { once } from "node:events";
import process from "node:process";
import { joinGroup } from "../ownership/mod.ts";
import { apiUrlOf } from "./api_url.ts";
import { BUILD_IDENTITY } from "./build_identity.ts";
import {
  hasWork,
  joinDelayMs,
  measureCandidateWait,
  requiredMemberCount,
} from "./candidacy.ts";
import type { EntryPlatform, PlatformHost } from "./entry_platform.ts";
import type { Settings } from "../settings/mod.ts";
import { announceInstance, followStoreTopics } from "./follow_store_topics.ts";
import { createEntryContext, partitionsInUse } from "./entry_context.ts";
import { confirmWithPeers } from "./confirm_with_peers.ts";
import { serve } from "./serve.ts";
import { stopEntry } from "./stop_entry.ts";
import { logUncaughtErrors } from "./log_uncaught_errors.ts";
import { monitorOwners } from "./monitor_owners.ts";
import { removeGoneInstances } from "./remove_gone_instances.ts";
import { replaceQueueRecords } from "./replace_queue_records.ts";
import { discoverOwners } from "./owner_discovery.ts";
import { recheckReachability, watchMembership } from "./connectivity_watch.ts";

/**
 * Runs an entry instance until SIGTERM or SIGINT, then stops it gracefully.
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
  // A closed log pipe must not end the process.
  process.stdout.on("error", () => {});
  const context = createEntryContext(settings, connect);
  const { logger, stopping, ending, platform, httpClients } = context;
  logger.part("daemon").info("Started.", {
    zone: settings.instance.zone,
    address: context.self,
    build: BUILD_IDENTITY,
    node: process.version,
    machine: process.arch,
    memoryMb: settings.machine.memoryMb,
    descriptors: settings.machine.descriptors,
    revocationBoundMs: settings.configuration.revocationBoundMs,
  });
  process.on("SIGTERM", () => stopping.abort());
  // A second SIGINT ends the process at once.
  process.once("SIGINT", () => stopping.abort());
  process.on("SIGHUP", () => {
    logger.part("daemon").info(
      "Ignored SIGHUP: settings change only at a restart.",
    );
  });
  logUncaughtErrors(logger.part("daemon"), context.counters, ending.signal);
  const servers = serve(context);
  followStoreTopics(context);
  confirmWithPeers({
    ...context,
    ...settings.configuration,
    logger: logger.part("entry"),
    intake: context.configurationIntake,
    peers: () =>
      context.instances.addresses().filter((other) => other !== context.self),
    ask: context.rpc.configuration,
    signal: ending.signal,
  });
  const measuredWaitMs = await measureCandidateWait(context);
  const url = apiUrlOf(settings);
  announceInstance(context, {
    candidateWaitMs: measuredWaitMs,
    zone: settings.instance.zone,
    cores: settings.instance.cores,
    ...(url === undefined ? {} : { url }),
  });
  context.membership = joinGroup({
    store: platform.store,
    clock: context.clock,
    logger: logger.part("ownership"),
    member: context.member,
    requiredMembers: () => requiredMemberCount(context),
    hasWork: ({ partitions }) => hasWork(context, partitions),
    candidateWaitMs: (members) => joinDelayMs(context, members),
    onAssignment: (assignment) => context.ownedDomains.assign(assignment),
    signal: stopping.signal,
  });
  context.ownerDiscovery = discoverOwners({
    ...context,
    partitionsInUse: () => partitionsInUse(context),
    signal: stopping.signal,
  });
  watchMembership(context);
  recheckReachability(context);
  monitorOwners(context);
  removeGoneInstances(context);
  replaceQueueRecords(context);
  if (!stopping.signal.aborted) await once(stopping.signal, "abort");
  await stopEntry(context, servers);
  ending.abort();
  await Promise.all(httpClients.map((client) => client.close()));
  logger.part("daemon").info("Stopped.");
  await logger.close();
  return 0;
}
