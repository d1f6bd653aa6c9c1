/** An agreement and the customer whose it is. */
export type AgreementKey = { customer: string; agreement: string };

/**
 * Names an agreement of a customer, for use as a key.
 *
 * @example
 * ```ts
 * agreementName({ customer: "press", agreement: "desk" }); // "press/desk"
 * ```
 */
export function formatAgreementKey(owner: AgreementKey): string {
  return `${owner.customer}/${owner.agreement}`;
}

/**
 * Takes the name of an agreement apart.
 *
 * @example
 * ```ts
 * splitAgreementName("press/desk").customer; // "press"
 * ```
 */
export function parseAgreementKey(name: string): AgreementKey {
  const [customer = "", agreement = ""] = name.split("/");
  return { customer, agreement };
}
