/**
 * What the log costs each of its readers: bytes and processor time for each
 * record, and memory for what is kept.
 *
 * @module
 */
import process from "node:process";
import {
  createLogState,
  foldPage,
  HOUR_MS,
  type LogRecord,
  type LogState,
  manifestRecordOf,
  storeRecord,
  takeSnapshot,
} from "../../src/log_state/mod.ts";
import { agreementName, benchManifest, CUSTOMER } from "./bench_manifest.ts";
import { jobOf } from "./bench_job.ts";
import { printTable, type Row } from "./print_table.ts";

const START_MS = Date.UTC(2026, 11, 1);
const RECORDS = 2_000;
const US_PER_MS = 1_000;
const BYTES_PER_MIB = 1_048_576;
const BYTES_PER_KB = 1_000;
const TASKS = [1, 20, 100, 400];
const TEAMS = [70, 140, 280];
const JOBS = [500, 1_000, 2_000];
const CLAIMS = [5_000, 10_000, 20_000];
const WORKERS = [250, 500, 1_000];
const TEAMS_PER_WORKER = 15;
const KEPT_HOURS = 3;

/** Measures and prints all tables. */
export function measureFoldCost(): void {
  printTable("A durable job: accepted", "tasks", TASKS.map(acceptedCost));
  printTable("A durable job: ended", "tasks", TASKS.map(endedCost));
  printTable("A change of one agreement", "teams", TEAMS.map(changeCost));
  printTable("Usage records of an hour", "workers", WORKERS.map(usageCost));
  printTable("Kept: jobs of 10 tasks", "jobs", JOBS.map(jobMemory));
  printTable("Kept: claimed keys", "claims", CLAIMS.map(claimMemory));
  printTable("Kept: open hours of usage", "workers", WORKERS.map(usageMemory));
}

function acceptedCost(tasks: number): Row {
  return recordCost(tasks, (index) => acceptedRecord(index, tasks));
}

function acceptedRecord(index: number, tasks: number): LogRecord {
  return { kind: "accepted", request: jobOf(index, tasks) };
}

function endedCost(tasks: number): Row {
  return recordCost(tasks, (index) => ({
    kind: "ended",
    requestId: jobOf(index, 0).id,
    holder: "i1/1",
    outcome: {
      kind: "ran",
      tasks: Array.from({ length: tasks }, (_, position) => ({
        kind: "finished",
        index: position,
        worker: `worker-${position}`,
        attempt: 1,
        output: { printed: true },
      })),
    },
  }));
}

/** The cost of one record, from a log of many. */
function recordCost(size: number, build: (index: number) => LogRecord): Row {
  const count = Math.max(50, Math.floor(RECORDS / Math.max(1, size)));
  const texts = Array.from(
    { length: count },
    (_, index) => JSON.stringify(storeRecord(build(index))),
  );
  const state = createLogState();
  const startedMs = performance.now();
  texts.forEach((text) => foldText(state, text));
  const elapsedMs = performance.now() - startedMs;
  return {
    size,
    values: {
      "bytes/record": mean(texts.map(({ length }) => length)),
      "us/record": elapsedMs / count * US_PER_MS,
    },
  };
}

function changeCost(teams: number): Row {
  const state = createLogState();
  const publish = (manifest: ReturnType<typeof benchManifest>) => {
    const record = manifestRecordOf(state, {
      manifest,
      author: "pipeline",
      changeId: `change-${state.nextOffset}`,
      baseVersion: state.version,
    });
    return JSON.stringify(storeRecord(record));
  };
  const whole = publish(benchManifest(teams));
  foldText(state, whole);
  const texts: string[] = [];
  let publishMs = 0;
  let foldMs = 0;
  for (let index = 0; index < RECORDS / 10; index += 1) {
    const next = structuredClone(state.manifest!);
    next.agreements[index % teams]!.share.cpuMillis += 1;
    const startedMs = performance.now();
    const text = publish(next);
    const publishedMs = performance.now();
    foldText(state, text);
    texts.push(text);
    publishMs += publishedMs - startedMs;
    foldMs += performance.now() - publishedMs;
  }
  return {
    size: teams,
    values: {
      "whole bytes": whole.length,
      "bytes/change": mean(texts.map(({ length }) => length)),
      "us/publish": publishMs / texts.length * US_PER_MS,
      "us/fold": foldMs / texts.length * US_PER_MS,
    },
  };
}

function usageCost(workers: number): Row {
  const text = JSON.stringify(storeRecord(usageRecord(workers, 0)));
  const state = createLogState();
  const startedMs = performance.now();
  foldText(state, text);
  return {
    size: workers,
    values: {
      bytes: text.length,
      us: (performance.now() - startedMs) * US_PER_MS,
    },
  };
}

function usageRecord(workers: number, hour: number): LogRecord {
  const hourMs = START_MS + hour * HOUR_MS;
  const names = Array.from({ length: workers }, (_, index) => index);
  return {
    kind: "usage",
    observer: "zone-1-1",
    usage: names.flatMap((index) =>
      Array.from({ length: TEAMS_PER_WORKER }, (_, team) => ({
        worker: `worker-${index}`,
        token: 7,
        hourMs,
        customer: CUSTOMER,
        agreement: agreementName((index + team * 7) % 280),
        cpuMillisMs: 3_600_000_000 + index,
        memoryMbMs: 7_200_000_000 + index,
        acceleratorMs: 0,
      }))
    ),
    observed: names.map((index) => ({
      worker: `worker-${index}`,
      token: 7,
      hourMs,
      observedMs: HOUR_MS,
    })),
  };
}

function jobMemory(jobs: number): Row {
  return keptCost(jobs, (state) => {
    for (let index = 0; index < jobs; index += 1) {
      const record = acceptedRecord(index, 10);
      foldText(state, JSON.stringify(storeRecord(record)));
    }
  });
}

function claimMemory(claims: number): Row {
  return keptCost(claims, (state) => {
    for (let index = 0; index < claims; index += 1) {
      const record: LogRecord = {
        kind: "claim",
        customer: CUSTOMER,
        key: `order-${index}`,
        digest: "0123456789abcdef".repeat(4),
        requestId: jobOf(index, 0).id,
      };
      foldText(state, JSON.stringify(record));
    }
  });
}

function usageMemory(workers: number): Row {
  return keptCost(workers, (state) => {
    for (let hour = 0; hour < KEPT_HOURS; hour += 1) {
      foldText(state, JSON.stringify(storeRecord(usageRecord(workers, hour))));
    }
  });
}

/** Memory and snapshot size of a state after something was folded. */
function keptCost(size: number, fill: (state: LogState) => void): Row {
  const collect = globalThis.gc;
  if (collect === undefined) throw new Error("run with --expose-gc");
  const state = createLogState();
  collect();
  const before = process.memoryUsage().heapUsed;
  fill(state);
  collect();
  const after = process.memoryUsage().heapUsed;
  const snapshot = JSON.stringify(takeSnapshot(state)).length;
  return {
    size,
    values: {
      "heap MiB": (after - before) / BYTES_PER_MIB,
      "snapshot kB": snapshot / BYTES_PER_KB,
    },
  };
}

function foldText(state: LogState, text: string): void {
  const offset = state.nextOffset;
  foldPage(state, {
    entries: [{ offset, atMs: START_MS, data: JSON.parse(text) }],
    firstOffset: 0,
    nextOffset: offset + 1,
  });
}

function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
