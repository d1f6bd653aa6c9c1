import * as v from "valibot";
import { resourcesSchema } from "../model/mod.ts";

/** Schema of an instance's load. */
export const loadSchema = v.object({
  /** How many tasks wait at the instance. */
  queued: v.number(),
  /** How many tasks wait, by urgency from 0. */
  queuedByUrgency: v.array(v.number()),
  /** What the workers that the instance holds have free, added up. */
  free: resourcesSchema,
  /** How many tasks run on those workers. */
  running: v.number(),
  /** How many workers of each capacity the instance holds. */
  shapes: v.array(v.object({
    resources: resourcesSchema,
    slots: v.number(),
    count: v.number(),
  })),
});

/** How busy an instance and its workers are. */
export type Load = v.InferOutput<typeof loadSchema>;
