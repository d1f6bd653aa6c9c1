import * as v from "valibot";

const amount = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of an amount of each resource that a worker offers. */
export const resourcesSchema = v.strictObject({
  /** Processor time, in thousandths of a core. */
  cpuMillis: amount,
  /** Memory, in MiB. */
  memoryMb: amount,
  /** Whole accelerators. */
  accelerators: amount,
});

/** An amount of each resource that a worker offers. */
export type Resources = v.InferOutput<typeof resourcesSchema>;

/** The names of the resources, in the order in which they are reported. */
export const RESOURCE_NAMES = [
  "cpuMillis",
  "memoryMb",
  "accelerators",
] as const;

/** The name of one resource. */
export type ResourceName = typeof RESOURCE_NAMES[number];

/** No resources at all. */
export const NO_RESOURCES: Resources = Object.freeze({
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
});

/**
 * Adds two amounts, resource by resource.
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
 * Subtracts the second amount from the first; the result may be negative.
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
 * Tells whether an amount fits into another in every resource.
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
 * Tells whether an amount fits into what is left of a whole.
 *
 * @example
 * ```ts
 * if (fitsBeside(task.demand, worker.used, worker.capacity)) start(task);
 * ```
 */
export function fitsRemaining(
  demand: Resources,
  used: Resources,
  whole: Resources,
): boolean {
  return demand.cpuMillis <= whole.cpuMillis - used.cpuMillis &&
    demand.memoryMb <= whole.memoryMb - used.memoryMb &&
    demand.accelerators <= whole.accelerators - used.accelerators;
}
