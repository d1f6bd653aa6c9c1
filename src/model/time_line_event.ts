import * as v from "valibot";

/** Schema of an event in the timeline. */
export const timeLineEventSchema = v.object({
  /** Process that recorded the event: instance id or worker id. */
  process: v.string(),
  incarnation: v.string(),
  /** Lamport timestamp, which orders events causally across processes. */
  lamport: v.number(),
  /** Wall-clock time, in milliseconds since the epoch; for display only. */
  atMs: v.number(),
  /** Name of the event, such as `task.started`. */
  name: v.string(),
  /** The request, task, worker or peer that the event concerns. */
  subject: v.optional(v.string()),
  detail: v.optional(v.string()),
});

/** A timeline event of one process. */
export type TimeLineEvent = v.InferOutput<typeof timeLineEventSchema>;
