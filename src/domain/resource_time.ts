import * as v from "valibot";

/** Schema of resource amounts multiplied by the time they were allocated. */
export const resourceTimeSchema = v.object({
  /** Millicores times milliseconds. */
  cpuMillisMs: v.number(),
  /** MiB times milliseconds. */
  memoryMbMs: v.number(),
  /** Accelerators times milliseconds. */
  acceleratorMs: v.number(),
});

/** Resource amounts multiplied by the time they were allocated. */
export type ResourceTime = v.InferOutput<typeof resourceTimeSchema>;

/** Creates a total of zero. */
export function zeroResourceTime(): ResourceTime {
  return { cpuMillisMs: 0, memoryMbMs: 0, acceleratorMs: 0 };
}

/** Adds resource time to a total, in place. */
export function addResourceTime(
  total: ResourceTime,
  added: ResourceTime,
): void {
  total.cpuMillisMs += added.cpuMillisMs;
  total.memoryMbMs += added.memoryMbMs;
  total.acceleratorMs += added.acceleratorMs;
}
