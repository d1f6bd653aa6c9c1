import * as v from "valibot";

const amount = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of an amount of each resource of a worker. */
export const resourcesSchema = v.strictObject({
  /** CPU, in thousandths of a core. */
  cpuMillis: amount,
  /** Memory, in MiB. */
  memoryMb: amount,
  /** Whole accelerators. */
  accelerators: amount,
});

/** An amount of each resource of a worker. */
export type Resources = v.InferOutput<typeof resourcesSchema>;

/** The resource names, in the order in which they are reported. */
export const RESOURCE_NAMES = [
  "cpuMillis",
  "memoryMb",
  "accelerators",
] as const;

/** The name of one resource. */
export type ResourceName = typeof RESOURCE_NAMES[number];

/** More than any amount of each resource; only in memory, not in records. */
export const UNLIMITED_RESOURCES: Resources = Object.freeze({
  cpuMillis: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
});

/** Zero of each resource. */
export const NO_RESOURCES: Resources = Object.freeze({
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
});

/**
 * Adds two amounts for each resource.
 *
 * @example
 * ```ts
 * addResources(used, demand);
 * ```
 */
export function addResources(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
  };
}

/**
 * Subtracts the second amount from the first for each resource; the result may
 * be negative.
 *
 * @example
 * ```ts
 * const free = subtractResources(capacity, used);
 * ```
 */
export function subtractResources(
  left: Resources,
  right: Resources,
): Resources {
  return {
    cpuMillis: left.cpuMillis - right.cpuMillis,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}

/**
 * Returns whether a demand is at most the free amount of each resource.
 *
 * @example
 * ```ts
 * if (fitsInto(task.demand, free)) start(task);
 * ```
 */
export function fitsInto(demand: Resources, free: Resources): boolean {
  return demand.cpuMillis <= free.cpuMillis &&
    demand.memoryMb <= free.memoryMb &&
    demand.accelerators <= free.accelerators;
}

/**
 * Returns whether a demand fits into the capacity that is not in use, for each
 * resource.
 *
 * @example
 * ```ts
 * if (fitsRemaining(task.demand, worker.used, worker.capacity)) start(task);
 * ```
 */
export function fitsRemaining(
  demand: Resources,
  used: Resources,
  capacity: Resources,
): boolean {
  return demand.cpuMillis <= capacity.cpuMillis - used.cpuMillis &&
    demand.memoryMb <= capacity.memoryMb - used.memoryMb &&
    demand.accelerators <= capacity.accelerators - used.accelerators;
}

/**
 * Combines two amounts resource by resource.
 *
 * @example
 * ```ts
 * const least = combineResources(left, right, Math.min);
 * ```
 */
export function combineResources(
  left: Resources,
  right: Resources,
  combine: (left: number, right: number) => number,
): Resources {
  return {
    cpuMillis: combine(left.cpuMillis, right.cpuMillis),
    memoryMb: combine(left.memoryMb, right.memoryMb),
    accelerators: combine(left.accelerators, right.accelerators),
  };
}

/**
 * Multiplies the amount of each resource; zero stays zero.
 *
 * @example
 * ```ts
 * const demand = multiplyResources(step.demand, step.taskCount);
 * ```
 */
export function multiplyResources(
  { cpuMillis, memoryMb, accelerators }: Resources,
  factor: number,
): Resources {
  const multiply = (amount: number) => amount === 0 ? 0 : amount * factor;
  return {
    cpuMillis: multiply(cpuMillis),
    memoryMb: multiply(memoryMb),
    accelerators: multiply(accelerators),
  };
}
