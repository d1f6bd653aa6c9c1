import { fitsInto, type Resources } from "../model/mod.ts";
import type { WorkerCapacity } from "../model/mod.ts";

/** How many workers of one capacity there are. */
export type Shape = {
  resources: Resources;
  slots: number;
  count: number;
};

/** How many tasks of one demand a number of equal workers can hold. */
export function tasksHeldBy(shape: Shape, demand: Resources): number {
  if (!fitsInto(demand, shape.resources)) return 0;
  const { resources, slots, count } = shape;
  return count * Math.min(
    slots,
    timesIn(resources.cpuMillis, demand.cpuMillis),
    timesIn(resources.memoryMb, demand.memoryMb),
    timesIn(resources.accelerators, demand.accelerators),
  );
}

/** Counts a worker into the shapes, or out of them. */
export function countShape(
  shapes: Map<string, Shape>,
  capacity: WorkerCapacity,
  change: 1 | -1,
): void {
  const { resources, slots } = capacity;
  const { cpuMillis, memoryMb, accelerators } = resources;
  const key = `${cpuMillis}/${memoryMb}/${accelerators}/${slots}`;
  const count = (shapes.get(key)?.count ?? 0) + change;
  if (count > 0) shapes.set(key, { resources, slots, count });
  else shapes.delete(key);
}

function timesIn(whole: number, part: number): number {
  return part === 0 ? Infinity : Math.floor(whole / part);
}
