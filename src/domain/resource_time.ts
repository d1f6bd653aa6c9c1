import * as v from "valibot";

/** Schema of amounts of the resources, added up over a time. */
export const resourceTimeSchema = v.object({
  /** Thousandths of a core times milliseconds. */
  cpuMillisMs: v.number(),
  /** MiB times milliseconds. */
  memoryMbMs: v.number(),
  /** Accelerators times milliseconds. */
  acceleratorMs: v.number(),
});

/** Amounts of the resources, added up over a time. */
export type ResourceTime = v.InferOutput<typeof resourceTimeSchema>;

/** No time of any resource. */
export function zeroResourceTime(): ResourceTime {
  return { cpuMillisMs: 0, memoryMbMs: 0, acceleratorMs: 0 };
}

/** Adds to a total, in place. */
export function addResourceTime(
  total: ResourceTime,
  added: ResourceTime,
): void {
  total.cpuMillisMs += added.cpuMillisMs;
  total.memoryMbMs += added.memoryMbMs;
  total.acceleratorMs += added.acceleratorMs;
}
