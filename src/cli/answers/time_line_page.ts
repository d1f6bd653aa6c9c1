import * as v from "valibot";
import { timeLineEventSchema } from "../../model/mod.ts";

/** Schema of a stretch of an instance's time line. */
export const timeLinePageSchema = v.object({
  events: v.array(timeLineEventSchema),
  /** Number of the latest event; the next call asks for those after it. */
  last: v.number(),
});

/** A stretch of an instance's time line. */
export type TimeLinePage = v.InferOutput<typeof timeLinePageSchema>;
