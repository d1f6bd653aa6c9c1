import * as v from "valibot";
import { timeLineEventSchema } from "../../model/mod.ts";

/** Schema of the retained events of an instance's timeline. */
export const timelineEventListSchema = v.object({
  events: v.array(timeLineEventSchema),
  /** Lamport timestamp of the response; `after` for reading later events. */
  last: v.number(),
});

/** The retained events of an instance's timeline. */
export type TimelineEventList = v.InferOutput<typeof timelineEventListSchema>;
