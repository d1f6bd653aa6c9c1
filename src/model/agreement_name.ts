/** An agreement and the customer whose it is. */
export type AgreementOwner = { customer: string; agreement: string };

/**
 * Names an agreement of a customer, for use as a key.
 *
 * @example
 * ```ts
 * agreementName({ customer: "press", agreement: "desk" }); // "press/desk"
 * ```
 */
export function agreementName(owner: AgreementOwner): string {
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
export function splitAgreementName(name: string): AgreementOwner {
  const [customer = "", agreement = ""] = name.split("/");
  return { customer, agreement };
}
