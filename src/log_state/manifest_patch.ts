/**
 * Changes of the manifest by their difference: a manifest of hundreds of
 * agreements is large, and a change touches few of them.
 *
 * @module
 */
import * as v from "valibot";
import {
  type Agreement,
  agreementSchema,
  type Customer,
  customerSchema,
  type Manifest,
} from "../model/mod.ts";

/** Schema of the difference between two manifests. */
export const manifestPatchSchema = v.object({
  /** Customers that are new or changed. */
  customers: v.array(customerSchema),
  /** Agreements that are new or changed. */
  agreements: v.array(agreementSchema),
  removedCustomers: v.array(v.string()),
  removedAgreements: v.array(
    v.object({ customer: v.string(), name: v.string() }),
  ),
});

/** The difference between two manifests. */
export type ManifestPatch = v.InferOutput<typeof manifestPatchSchema>;

/**
 * Finds the difference from one manifest to the next.
 *
 * @example
 * ```ts
 * const patch = diffManifests(inForce, next);
 * if (patch !== undefined) applyPatch(inForce, patch); // equals `next`
 * ```
 *
 * @returns the difference, or undefined where it cannot tell the order in
 *   which the next manifest lists its parts
 */
export function diffManifests(
  base: Manifest,
  next: Manifest,
): ManifestPatch | undefined {
  const patch: ManifestPatch = {
    customers: changedIn(base.customers, next.customers, customerKey),
    agreements: changedIn(base.agreements, next.agreements, agreementKey),
    removedCustomers: missingNames(base.customers, next.customers),
    removedAgreements: missingIn(
      base.agreements,
      next.agreements,
      agreementKey,
    ).map(({ customer, name }) => ({ customer, name })),
  };
  const isExact = isSame(applyPatch(base, patch), next);
  return isExact ? patch : undefined;
}

/**
 * Applies a difference to the manifest that it was made from.
 *
 * @example
 * ```ts
 * const next = applyPatch(inForce, record.patch);
 * ```
 */
export function applyPatch(base: Manifest, patch: ManifestPatch): Manifest {
  const removed = new Set(patch.removedAgreements.map(agreementKey));
  const customers = base.customers.filter(({ name }) =>
    !patch.removedCustomers.includes(name)
  );
  const agreements = base.agreements.filter((agreement) =>
    !removed.has(agreementKey(agreement))
  );
  return {
    customers: replaceIn(customers, patch.customers, customerKey),
    agreements: replaceIn(agreements, patch.agreements, agreementKey),
  };
}

function customerKey(customer: Customer): string {
  return customer.name;
}

function agreementKey(
  agreement: Pick<Agreement, "customer" | "name">,
): string {
  return `${agreement.customer}/${agreement.name}`;
}

function missingNames(base: Customer[], next: Customer[]): string[] {
  return missingIn(base, next, customerKey).map(customerKey);
}

function missingIn<T>(base: T[], next: T[], keyOf: (item: T) => string): T[] {
  const kept = new Set(next.map(keyOf));
  return base.filter((item) => !kept.has(keyOf(item)));
}

function changedIn<T>(base: T[], next: T[], keyOf: (item: T) => string): T[] {
  const known = new Map(base.map((item) => [keyOf(item), item]));
  return next.filter((item) => !isSame(known.get(keyOf(item)), item));
}

/** Changed items keep their place; new ones follow. */
function replaceIn<T>(base: T[], put: T[], keyOf: (item: T) => string): T[] {
  const items = new Map(base.map((item) => [keyOf(item), item]));
  for (const item of put) items.set(keyOf(item), item);
  return [...items.values()];
}

function isSame(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
