/**
 * An index of the free room of many workers, to find those that a task fits
 * on without looking at each of them.
 *
 * The index is a binary tree in arrays. Each node holds, for every resource,
 * the most that any worker below it has free, so that a search skips each
 * subtree in which one resource is short. Finding a worker and updating one
 * take a time that grows with the depth of the tree.
 *
 * @module
 */
import type { Resources } from "../model/mod.ts";

const FIRST_SIZE = 16;
const DIMENSIONS = 4;
const NOTHING_FREE = -1;

/** Workers by leaf, with the free room below each node of the tree. */
export type FreeIndex<W> = {
  /** Number of leaves, a power of two. */
  size: number;
  /** The most free room below each node, four numbers a node. */
  most: Float64Array;
  leaves: (W | undefined)[];
  vacant: number[];
};

/**
 * Creates an empty index.
 *
 * @example
 * ```ts
 * const index = createFreeIndex<WorkerState>();
 * ```
 */
export function createFreeIndex<W>(): FreeIndex<W> {
  return {
    size: FIRST_SIZE,
    most: new Float64Array(2 * FIRST_SIZE * DIMENSIONS).fill(NOTHING_FREE),
    leaves: [],
    vacant: [],
  };
}

/**
 * Adds a worker without free room; {@linkcode setFree} gives it some.
 *
 * @example
 * ```ts
 * worker.leaf = addLeaf(index, worker);
 * ```
 *
 * @returns the worker's leaf
 */
export function addLeaf<W>(index: FreeIndex<W>, worker: W): number {
  const leaf = index.vacant.pop() ?? index.leaves.length;
  index.leaves[leaf] = worker;
  if (leaf >= index.size) grow(index);
  return leaf;
}

/**
 * Removes the worker of a leaf.
 *
 * @example
 * ```ts
 * removeLeaf(index, worker.leaf);
 * ```
 */
export function removeLeaf<W>(index: FreeIndex<W>, leaf: number): void {
  hideLeaf(index, leaf);
  index.leaves[leaf] = undefined;
  index.vacant.push(leaf);
}

/**
 * Marks a leaf as one on which nothing fits.
 *
 * @example
 * ```ts
 * hideLeaf(index, worker.leaf); // The worker is leaving.
 * ```
 */
export function hideLeaf<W>(index: FreeIndex<W>, leaf: number): void {
  write(index, leaf, NOTHING_FREE, NOTHING_FREE, NOTHING_FREE, NOTHING_FREE);
}

/**
 * Sets the free room of a leaf.
 *
 * @example
 * ```ts
 * setFree(index, worker.leaf, worker.free, worker.freeSlots);
 * ```
 */
export function setFree<W>(
  index: FreeIndex<W>,
  leaf: number,
  free: Resources,
  slots: number,
): void {
  const { cpuMillis, memoryMb, accelerators } = free;
  write(index, leaf, cpuMillis, memoryMb, accelerators, slots);
}

/**
 * Finds the first leaf, from a given one on, on which a task fits.
 *
 * @example
 * ```ts
 * const leaf = nextFittingLeaf(index, task.demand, 0);
 * ```
 *
 * @returns the leaf, or -1 where none from `from` on has the room
 */
export function nextFittingLeaf<W>(
  index: FreeIndex<W>,
  demand: Resources,
  from: number,
): number {
  if (from >= index.size) return -1;
  let node = from === 0 ? 1 : index.size + from;
  while (node !== 0) {
    if (!mayFit(index.most, node, demand)) {
      node = nextSubtree(node);
    } else if (node >= index.size) {
      return node - index.size;
    } else {
      node = 2 * node;
    }
  }
  return -1;
}

/** The subtree to the right of a node; 0 after the last. */
function nextSubtree(node: number): number {
  let next = node;
  while ((next & 1) === 1) next >>= 1;
  return next === 0 ? 0 : next + 1;
}

function mayFit(most: Float64Array, node: number, demand: Resources): boolean {
  const at = node * DIMENSIONS;
  return most[at]! >= demand.cpuMillis &&
    most[at + 1]! >= demand.memoryMb &&
    most[at + 2]! >= demand.accelerators &&
    most[at + 3]! >= 1;
}

function write<W>(
  index: FreeIndex<W>,
  leaf: number,
  cpuMillis: number,
  memoryMb: number,
  accelerators: number,
  slots: number,
): void {
  const { most } = index;
  let node = index.size + leaf;
  const at = node * DIMENSIONS;
  most[at] = cpuMillis;
  most[at + 1] = memoryMb;
  most[at + 2] = accelerators;
  most[at + 3] = slots;
  for (node >>= 1; node >= 1; node >>= 1) {
    if (!raise(most, node)) return;
  }
}

/** Recomputes a node from its children; tells whether it changed. */
function raise(most: Float64Array, node: number): boolean {
  const at = node * DIMENSIONS;
  const left = 2 * at;
  let changed = false;
  for (let i = 0; i < DIMENSIONS; i++) {
    const value = Math.max(most[left + i]!, most[left + DIMENSIONS + i]!);
    if (most[at + i] === value) continue;
    most[at + i] = value;
    changed = true;
  }
  return changed;
}

function grow<W>(index: FreeIndex<W>): void {
  const { size, most } = index;
  const larger = new Float64Array(4 * size * DIMENSIONS).fill(NOTHING_FREE);
  const leavesAt = size * DIMENSIONS;
  larger.set(most.subarray(leavesAt), 2 * leavesAt);
  index.size = 2 * size;
  index.most = larger;
  for (let node = index.size - 1; node >= 1; node--) raise(larger, node);
}
