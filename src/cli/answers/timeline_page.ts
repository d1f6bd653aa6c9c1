import * as v from "valibot";
import { timeLineEventSchema } from "../../model/mod.ts";

/** Schema of a page of an instance's timeline. */
export const timelinePageSchema = v.object({
  events: v.array(timeLineEventSchema),
  /** Number of the latest event; pass it as `after` to read the next page. */
  last: v.number(),
});

/** A page of an instance's timeline. */
export type TimelinePage = v.InferOutput<typeof timelinePageSchema>;
