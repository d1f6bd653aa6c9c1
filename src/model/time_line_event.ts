import * as v from "valibot";

/** Schema of an event on the time line. */
export const timeLineEventSchema = v.object({
  /** Process that recorded the event: instance id or worker id. */
  process: v.string(),
  incarnation: v.string(),
  /** Lamport clock of the process, which orders events causally. */
  lamport: v.number(),
  /** Wall clock, in milliseconds since the epoch; for display only. */
  atMs: v.number(),
  /** Name of the event, such as `task.started`. */
  name: v.string(),
  /** The request, task, worker or peer that the event concerns. */
  subject: v.optional(v.string()),
  detail: v.optional(v.string()),
});

/** An event of one process, ordered against those of other processes. */
export type TimeLineEvent = v.InferOutput<typeof timeLineEventSchema>;
