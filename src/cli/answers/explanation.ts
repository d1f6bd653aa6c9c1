import * as v from "valibot";

/** Schema of an explanation of where a request stands, and why. */
export const explanationSchema = v.object({
  id: v.string(),
  lines: v.array(v.string()),
});

/** An explanation of where a request stands, and why. */
export type Explanation = v.InferOutput<typeof explanationSchema>;
