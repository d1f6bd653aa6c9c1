import * as v from "valibot";

/** Schema of an explanation of why a request waits, or where it ran. */
export const explanationSchema = v.object({
  id: v.string(),
  lines: v.array(v.string()),
});

/** Schema of an explanation of where work would go. */
export const placementAnswerSchema = v.object({ lines: v.array(v.string()) });

/** An explanation of where work would go. */
export type PlacementAnswer = v.InferOutput<typeof placementAnswerSchema>;

/** An explanation of why a request waits, or where it ran. */
export type Explanation = v.InferOutput<typeof explanationSchema>;
