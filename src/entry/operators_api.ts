/**
 * The part of the product's own interface that operators use.
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
import type { Entry } from "./entry.ts";
import { apiUrlOf } from "./api_url.ts";
import { explainJob } from "./explain_job.ts";
import { isReady } from "./readiness.ts";
import { DOMAINS_TOPIC, partitionsInUse, type Running } from "./running.ts";
import { servicesOf } from "./services.ts";

const CONFLICT = 409;
const UNDECIDED = 504;
/** Time for one call to the owner of a domain, in milliseconds. */
const CALL_MS = 3_000;

/** What operators can do. */
export type OperatorsApi = Omit<
  ApiHost,
  "credentials" | "submit" | "read" | "cancel" | "list"
>;

/** Creates the part for operators. */
export function createOperatorsApi(
  running: Running,
  entry: Entry,
): OperatorsApi {
  const { settings, platform, ending, stopping, holder } = running;
  const { signal } = ending;
  const views = async (): Promise<DomainView[]> =>
    (await holder.owners()).map((owner: DomainOwner) => owner.view());
  return {
    async status() {
      const domains = await views();
      const used = domains.filter(({ jobs, workers }) =>
        jobs > 0 || workers.length > 0
      );
      return {
        instance: settings.instance.id,
        incarnation: running.incarnation,
        zone: settings.instance.zone,
        address: running.self,
        url: apiUrlOf(settings) ?? "",
        ready: isReady(running),
        version: running.manifest.current()?.version ?? NO_VERSION,
        members: running.instances.members(),
        domains: used.map(summaryOf),
        leaving: stopping.signal.aborted,
      };
    },
    workers: async () =>
      (await views()).flatMap(({ workers, epoch }) =>
        workers.map((worker) => ({ ...worker, epoch }))
      ),
    tasks: async () => (await views()).flatMap(({ tasks }) => tasks),
    async explain(id) {
      const found = await entry.describe(id, servicesOf(running), CALL_MS);
      return explainJob(id, found);
    },
    manifest: () => running.manifest.current(),
    async history() {
      const read = await platform.store.newest(MANIFEST_PARTITION, signal);
      if (read.isErr()) return undefined;
      return parseManifestRecords(read.value.records).changes;
    },
    async publish(publication) {
      const host = {
        store: platform.store,
        clock: running.clock,
        agreedTimeByDay: agreedTimeByDay,
        signal,
      };
      const verdict = await publishManifest(host, publication);
      const { changeId, baseVersion, author } = publication;
      running.logger.part("manifest").info("Published a manifest.", {
        changeId,
        baseVersion,
        author,
        outcome: verdict.kind,
      });
      switch (verdict.kind) {
        case "won":
          return { kind: "published", version: verdict.version };
        case "lost":
          return problemResponse(
            CONFLICT,
            diagnostics.manifestRaced,
            changeId,
            baseVersion,
            verdict.versionInForce,
          );
        case "undecided":
          return problemResponse(UNDECIDED, diagnostics.publishUndecided);
      }
    },
    account: (month) => readAccount(running, month),
    timeLine: (after) => eventsAfter(running.timeLine, after),
    stop: () => stopping.abort(),
  };
}

/** Reads the account out of the records of all domains and the manifest. */
async function readAccount(running: Running, month: Month) {
  const { platform, clock, ending } = running;
  const { signal } = ending;
  const days = new Map<number, ClusterDayUsage>();
  const nowMs = clock.nowMs();
  let complete = true;
  for (const number of partitionsInUse(running)) {
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

function summaryOf(view: DomainView) {
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
