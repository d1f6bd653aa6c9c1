import * as v from "valibot";
import { viewSchema } from "../../instance/view.ts";

/** Schema of the requests of a customer that an instance knows. */
export const requestListSchema = v.object({ requests: v.array(viewSchema) });

/** The requests of a customer that an instance knows. */
export type RequestList = v.InferOutput<typeof requestListSchema>;
