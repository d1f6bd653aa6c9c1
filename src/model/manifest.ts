import * as v from "valibot";
import { resourcesSchema } from "./resources.ts";
import { workKindSchema } from "./work_kind.ts";

const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/));

/** Schema of a customer of the cluster. */
export const customerSchema = v.strictObject({
  name,
  /** Display name in reports. */
  title: v.optional(v.string()),
});

/** A customer of the cluster. */
export type Customer = v.InferOutput<typeof customerSchema>;

/** Schema of an agreement with a customer. */
export const agreementSchema = v.strictObject({
  name,
  customer: name,
  /** Capacity agreed for this customer across the whole cluster. */
  share: resourcesSchema,
  /** The kinds of work that run under this agreement. */
  work: v.pipe(v.array(workKindSchema), v.minLength(1)),
});

/** An agreement: a customer's share and the kinds of work run under it. */
export type Agreement = v.InferOutput<typeof agreementSchema>;

/** Schema of the manifest that a build pipeline generates. */
export const manifestSchema = v.strictObject({
  customers: v.array(customerSchema),
  agreements: v.array(agreementSchema),
});

/** All customers and agreements that are in force together. */
export type Manifest = v.InferOutput<typeof manifestSchema>;
