import * as v from "valibot";
import { workerOptionsSchema } from "./worker/mod.ts";

const port = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(65_535));

/** Schema of the configuration of the program; port 0 takes any free one. */
export const standInConfigSchema = v.strictObject({
  workers: v.optional(
    v.array(v.strictObject({ ...workerOptionsSchema.entries, port })),
    [],
  ),
  log: v.optional(v.strictObject({ port, seed: v.optional(v.number(), 1) })),
  /** Lists the workers above and the instances given here. */
  instanceList: v.optional(v.strictObject({
    port,
    listLagMs: v.optional(v.number(), 0),
    seed: v.optional(v.number(), 1),
    instances: v.optional(
      v.array(v.strictObject({
        id: v.string(),
        zone: v.string(),
        region: v.string(),
        url: v.string(),
      })),
      [],
    ),
  })),
});

/** Which stand-ins one process runs. */
export type StandInConfig = v.InferInput<typeof standInConfigSchema>;
