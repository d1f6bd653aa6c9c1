import * as v from "valibot";
import { diagnostics } from "../../src/diagnostics/mod.ts";
import type { InstanceList } from "../../src/hosts/mod.ts";
import { workerAddressSchema } from "../../src/model/mod.ts";
import {
  accept,
  type Answer,
  type Call,
  createJsonServer,
  faultControlEntries,
  type JsonServer,
  refuse,
} from "../base/mod.ts";

const listedInstanceSchema = v.object({
  id: v.string(),
  zone: v.string(),
  region: v.string(),
  url: v.string(),
  leaving: v.optional(v.boolean(), false),
});

const listedWorkerSchema = v.object({
  ...workerAddressSchema.entries,
  leaving: v.optional(v.boolean(), false),
});

/** Schema of a control call to the instance list. */
export const instanceListControlSchema = v.strictObject({
  ...faultControlEntries,
  /** How far the list is behind, in milliseconds. */
  listLagMs: v.optional(v.number()),
  /** Marks an instance or a worker as leaving. */
  leaving: v.optional(v.string()),
  /** Takes an instance or a worker off the list. */
  remove: v.optional(v.string()),
  /** Adds an instance, or replaces the one of the same id. */
  addInstance: v.optional(listedInstanceSchema),
  /** Adds a worker, or replaces the one of the same id. */
  addWorker: v.optional(listedWorkerSchema),
});

/** A change of what the instance list shows. */
export type InstanceListControl = v.InferInput<
  typeof instanceListControlSchema
>;

/** Options of the instance list. */
export type InstanceListOptions = {
  instances: v.InferInput<typeof listedInstanceSchema>[];
  workers: v.InferInput<typeof listedWorkerSchema>[];
  /** How far the list is behind, in milliseconds. */
  listLagMs?: number;
  seed?: number;
};

/** The instance list's stand-in. */
export type InstanceListServer = JsonServer<InstanceListControl> & {
  audit(): InstanceList;
};

type State = {
  /** Every state of the list so far, the oldest first. */
  versions: InstanceList[];
  listLagMs: number;
};

/**
 * Builds the instance list's stand-in.
 *
 * @example
 * ```ts
 * const list = createInstanceList({ instances: [], workers: [] });
 * const url = await list.listen(0);
 * ```
 */
export function createInstanceList(
  options: InstanceListOptions,
): InstanceListServer {
  const first: InstanceList = {
    asOfMs: 0,
    instances: options.instances.map((row) =>
      v.parse(listedInstanceSchema, row)
    ),
    workers: options.workers.map((row) => v.parse(listedWorkerSchema, row)),
  };
  const state: State = {
    versions: [first],
    listLagMs: options.listLagMs ?? 0,
  };
  const audit = () => latest(state);
  const server = createJsonServer<InstanceListControl>({
    seed: options.seed ?? 1,
    handle: (call) => handle(state, call),
    parseControl: (body) => v.parse(instanceListControlSchema, body),
    control: (control) => change(state, control),
    audit,
  });
  return { ...server, audit };
}

function handle(state: State, call: Call): Answer {
  if (call.method !== "GET" || call.path !== "/v1/list") {
    return refuse(404, diagnostics.pathUnknown, [call.path]);
  }
  return accept(shownAt(state, Date.now() - state.listLagMs));
}

/** Returns the list as it was at a time. */
function shownAt(state: State, atMs: number): InstanceList {
  const known = state.versions.findLast((version) => version.asOfMs <= atMs);
  return { ...(known ?? state.versions[0]!), asOfMs: atMs };
}

function change(state: State, control: InstanceListControl): void {
  state.listLagMs = control.listLagMs ?? state.listLagMs;
  const before = latest(state);
  const after = changedList(before, control);
  if (after === before) return;
  state.versions.push({ ...after, asOfMs: Date.now() });
}

function changedList(
  list: InstanceList,
  control: InstanceListControl,
): InstanceList {
  let { instances, workers } = list;
  if (control.leaving !== undefined) {
    instances = markLeaving(instances, control.leaving);
    workers = markLeaving(workers, control.leaving);
  }
  if (control.remove !== undefined) {
    instances = without(instances, control.remove);
    workers = without(workers, control.remove);
  }
  if (control.addInstance !== undefined) {
    const added = v.parse(listedInstanceSchema, control.addInstance);
    instances = [...without(instances, added.id), added];
  }
  if (control.addWorker !== undefined) {
    const added = v.parse(listedWorkerSchema, control.addWorker);
    workers = [...without(workers, added.id), added];
  }
  const same = instances === list.instances && workers === list.workers;
  return same ? list : { ...list, instances, workers };
}

function markLeaving<Row extends { id: string; leaving: boolean }>(
  rows: Row[],
  id: string,
): Row[] {
  return rows.map((row) => row.id === id ? { ...row, leaving: true } : row);
}

function without<Row extends { id: string }>(rows: Row[], id: string): Row[] {
  return rows.filter((row) => row.id !== id);
}

function latest(state: State): InstanceList {
  return state.versions[state.versions.length - 1]!;
}
