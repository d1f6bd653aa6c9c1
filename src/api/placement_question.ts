import * as v from "valibot";
import { stepSchema } from "../domain/mod.ts";
import { submissionSchema } from "../model/mod.ts";

/** Schema of the question where work would go if it were submitted now. */
export const placementQuestionSchema = v.variant("kind", [
  v.strictObject({
    /** Work of an agreement of the manifest. */
    kind: v.literal("submission"),
    submission: submissionSchema,
  }),
  v.strictObject({
    /** A job of a queue of the configuration. */
    kind: v.literal("job"),
    queue: v.string(),
    clientAccount: v.optional(v.string()),
    steps: v.pipe(v.array(stepSchema), v.minLength(1)),
  }),
]);

/** The question where work would go if it were submitted now. */
export type PlacementQuestion = v.InferOutput<typeof placementQuestionSchema>;
