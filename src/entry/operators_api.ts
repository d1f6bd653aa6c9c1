/**
 * The operators' part of the product's own API.
 *
 * @module
 */
import {
  accrueAgreedTime,
  addDomainUsage,
  agreedTimeByDay,
  buildAccount,
  type ClusterDayUsage,
  type Month,
} from "../account/mod.ts";
import { type ApiHost, problemResponse } from "../api/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import { readUsage } from "../domain/mod.ts";
import {
  MANIFEST_PARTITION,
  NO_VERSION,
  parseManifestRecords,
  publishManifest,
} from "../manifest/mod.ts";
import type { DomainOwner, DomainView } from "../ownership/mod.ts";
import { eventsAfter } from "../time_line/mod.ts";
import type { CallRouter } from "./call_router.ts";
import { apiUrlOf } from "./api_url.ts";
import { explainJob } from "./explain_job.ts";
import { isReady } from "./readiness.ts";
import {
  DOMAINS_TOPIC,
  type EntryContext,
  partitionsInUse,
} from "./entry_context.ts";
import { servicesOf } from "./services.ts";

const CONFLICT = 409;
const UNPROCESSABLE_CONTENT = 422;
const GATEWAY_TIMEOUT = 504;
/** Timeout of a call to the owner of a domain, in milliseconds. */
const CALL_TIMEOUT_MS = 3_000;

/** The operations available to operators. */
export type OperatorsApi = Omit<
  ApiHost,
  "credentials" | "submit" | "read" | "cancel" | "list" | "where"
>;

/** Creates the operations for operators. */
export function createOperatorsApi(
  context: EntryContext,
  router: CallRouter,
): OperatorsApi {
  const { settings, platform, ending, stopping, ownedDomains } = context;
  const { signal } = ending;
  const readDomainViews = async (): Promise<DomainView[]> =>
    (await ownedDomains.owners()).map((owner: DomainOwner) => owner.view());
  return {
    async status() {
      const domains = await readDomainViews();
      const active = domains.filter(({ jobs, workers }) =>
        jobs > 0 || workers.length > 0
      );
      return {
        instance: settings.instance.id,
        incarnation: context.incarnation,
        zone: settings.instance.zone,
        address: context.self,
        url: apiUrlOf(settings) ?? "",
        ready: isReady(context),
        version: context.manifest.current()?.version ?? NO_VERSION,
        members: context.instances.members(),
        domains: active.map(summarizeDomain),
        leaving: stopping.signal.aborted,
      };
    },
    workers: async () =>
      (await readDomainViews()).flatMap(({ workers, epoch }) =>
        workers.map((worker) => ({ ...worker, epoch }))
      ),
    tasks: async () => (await readDomainViews()).flatMap(({ tasks }) => tasks),
    async explain(id) {
      const found = await router.describe(
        id,
        servicesOf(context),
        CALL_TIMEOUT_MS,
      );
      return explainJob(id, found);
    },
    manifest: () => context.manifest.current(),
    async history() {
      const read = await platform.store.newest(MANIFEST_PARTITION, signal);
      if (read.isErr()) return undefined;
      return parseManifestRecords(read.value.records).changes;
    },
    async publish(publication) {
      const host = {
        store: platform.store,
        clock: context.clock,
        agreedTimeByDay,
        signal,
      };
      const result = await publishManifest(host, publication);
      const { changeId, baseVersion, author } = publication;
      context.logger.part("manifest").info("Published a manifest.", {
        changeId,
        baseVersion,
        author,
        outcome: result.kind,
      });
      switch (result.kind) {
        case "won":
          return { kind: "published", version: result.version };
        case "lost":
          return problemResponse(
            CONFLICT,
            diagnostics.manifestConflict,
            changeId,
            baseVersion,
            result.versionInForce,
          );
        case "tooLarge":
          return problemResponse(
            UNPROCESSABLE_CONTENT,
            diagnostics.manifestTooLarge,
            result.bytes,
            result.maxBytes,
          );
        case "undecided":
          return problemResponse(GATEWAY_TIMEOUT, diagnostics.publishUndecided);
      }
    },
    account: (month) => readAccount(context, month),
    timeLine: (after) => eventsAfter(context.timeLine, after),
    stop: () => stopping.abort(),
  };
}

/**
 * Builds the usage account of a month from the records of all domains and the
 * manifest; marks it as incomplete if any of them cannot be read.
 */
async function readAccount(context: EntryContext, month: Month) {
  const { platform, clock, ending } = context;
  const { signal } = ending;
  const days = new Map<number, ClusterDayUsage>();
  const nowMs = clock.nowMs();
  let complete = true;
  for (const number of partitionsInUse(context)) {
    const partition = { topic: DOMAINS_TOPIC, number };
    const read = await platform.store.newest(partition, signal);
    if (read.isErr()) complete = false;
    else {
      for (const [day, usage] of readUsage(read.value.records)) {
        addDomainUsage(days, day, usage);
      }
    }
  }
  const manifest = await platform.store.newest(MANIFEST_PARTITION, signal);
  if (manifest.isErr()) complete = false;
  else {
    const records = parseManifestRecords(manifest.value.records);
    if (records.unreadable.length > 0) complete = false;
    accrueAgreedTime(days, records, nowMs);
  }
  return buildAccount({ days, asOfMs: nowMs, complete }, month);
}

function summarizeDomain(view: DomainView) {
  const { partition, epoch, jobs, storeSilentMs, workers, tasks } = view;
  const running = tasks.filter(({ state }) => state !== "queued").length;
  return {
    partition,
    epoch,
    jobs,
    queued: tasks.length - running,
    running,
    workers: workers.length,
    storeSilentMs: Math.round(storeSilentMs),
  };
}
