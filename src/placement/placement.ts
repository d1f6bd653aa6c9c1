import type { Resources } from "../model/mod.ts";
import { createFreeIndex, type FreeIndex } from "./free_index.ts";
import type { Hold } from "./hold.ts";
import type { Lane } from "./lane.ts";
import type { LearnedKind } from "./learned_kind.ts";
import type { PlacementOptions } from "./placement_options.ts";
import type { Shape } from "./shape.ts";
import type { PlacedTask, TaskEntry } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";
import type { WorkerState } from "./worker_state.ts";

/**
 * The state of a placement core: plain data, changed in place by
 * `stepPlacement` alone.
 */
export type Placement = {
  options: PlacementOptions;
  workers: Map<string, WorkerState>;
  /** Workers without accelerators. */
  plain: FreeIndex<WorkerState>;
  /** Workers with accelerators. */
  accelerated: FreeIndex<WorkerState>;
  /** Every task that waits or has room on a worker. */
  tasks: Map<string, TaskEntry>;
  lanes: Map<string, Lane>;
  /** Lanes in which tasks wait. */
  activeLanes: Set<Lane>;
  queued: number;
  /** Waiting tasks that need accelerators. */
  queuedAccelerated: number;
  /** Tasks that have room on a worker. */
  running: number;
  /** Waiting tasks by declared urgency, from 0. */
  queuedByUrgency: number[];
  /** Replicas of each service request by rack. */
  replicas: Map<string, Map<string, number>>;
  /** Workers that are set aside because they fail all they start. */
  suspended: Set<WorkerState>;
  /** Workers that run one task at most, to see whether they work again. */
  probed: Set<WorkerState>;
  /** Where each kind of work failed since it last succeeded. */
  failedOn: Map<string, string>;
  /** Workers on which nothing starts until a time, in milliseconds. */
  paused: Map<WorkerState, number>;
  /** How many workers of each capacity this instance owns. */
  shapes: Map<string, Shape>;
  /** The workers of peers; undefined until the driver tells of them. */
  peers: Shape[] | undefined;
  /** Groups that came before the workers were known. */
  unchecked: Set<WaitingGroup>;
  /** Groups with a start deadline. */
  deadlines: Set<WaitingGroup>;
  /** When waiting groups were last offered to peers, in milliseconds. */
  offloadedAtMs: number;
  /** What is learned of each agreement's kinds of work, by name. */
  learned: Map<string, Map<string, LearnedKind>>;
  /** Workers kept for waiting groups. */
  holds: Set<Hold>;
  /** How many workers have a hold. */
  held: number;
  /** Tasks that were asked to give way. */
  yielding: Set<PlacedTask>;
  /** Room used by each agreement. */
  used: Map<string, Resources>;
  /** The part of each agreement's share that this instance may use. */
  shares: Map<string, Resources>;
};

/**
 * Creates a placement core without workers or tasks.
 *
 * @example
 * ```ts
 * const placement = createPlacement({
 *   preference: "waiting",
 *   randomness,
 *   maxQueuedTasks: 10_000,
 * });
 * ```
 */
export function createPlacement(options: PlacementOptions): Placement {
  return {
    options,
    workers: new Map(),
    plain: createFreeIndex(),
    accelerated: createFreeIndex(),
    tasks: new Map(),
    lanes: new Map(),
    activeLanes: new Set(),
    queued: 0,
    queuedAccelerated: 0,
    running: 0,
    queuedByUrgency: new Array(10).fill(0),
    replicas: new Map(),
    suspended: new Set(),
    probed: new Set(),
    failedOn: new Map(),
    paused: new Map(),
    shapes: new Map(),
    peers: undefined,
    unchecked: new Set(),
    deadlines: new Set(),
    offloadedAtMs: -Infinity,
    learned: new Map(),
    holds: new Set(),
    held: 0,
    yielding: new Set(),
    used: new Map(),
    shares: new Map(),
  };
}
