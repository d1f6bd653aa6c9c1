/** The names of a customer and one of its agreements. */
export type AgreementKey = { customer: string; agreement: string };

/**
 * Formats the cluster-wide key of an agreement, `customer/agreement`.
 *
 * @example
 * ```ts
 * formatAgreementKey({ customer: "press", agreement: "desk" }); // "press/desk"
 * ```
 */
export function formatAgreementKey(key: AgreementKey): string {
  return `${key.customer}/${key.agreement}`;
}

/**
 * Parses the key of an agreement into the customer and agreement names.
 *
 * @example
 * ```ts
 * parseAgreementKey("press/desk").customer; // "press"
 * ```
 */
export function parseAgreementKey(text: string): AgreementKey {
  const [customer = "", agreement = ""] = text.split("/");
  return { customer, agreement };
}
