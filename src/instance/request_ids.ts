/**
 * Issues and checks request ids. An id names its home and is signed, together
 * with the customer, with the secret of the cluster, so that every instance
 * can tell without state whether it was issued and to whom.
 *
 * @module
 */
import { equalSecrets, sign } from "../base/mod.ts";
import type { Home, Instance, RequestId } from "../model/mod.ts";

/** Bytes of the signature: 16 characters in base64url. */
const SIGNATURE_BYTES = 12;

/** The parts of a request id. */
export type RequestIdParts = {
  home: Home;
  /** Rises with each id of a home; never below the wall clock at issue. */
  sequence: number;
};

/**
 * Issues a request id.
 *
 * @example
 * ```ts
 * const id = issueRequestId(secret, self, 7, "funeral-homes");
 * ```
 *
 * @param sequence a number above all that this incarnation has used, and at
 * least the wall clock in milliseconds, so that an id tells its age
 */
export function issueRequestId(
  secret: string,
  home: Instance,
  sequence: number,
  customer: string,
): RequestId {
  const stem = [home.zone, home.id, home.incarnation, sequence].join(".");
  return `${stem}.${signature(secret, stem, customer)}`;
}

/**
 * Checks a request id and takes it apart.
 *
 * @example
 * ```ts
 * const parts = readRequestId(secret, id, customer);
 * if (parts === undefined) return refuse();
 * ```
 *
 * @returns the parts, or undefined if the id was not issued to the customer
 */
export function readRequestId(
  secret: string,
  id: RequestId,
  customer: string,
): RequestIdParts | undefined {
  const stem = id.slice(0, id.lastIndexOf("."));
  const expected = `${stem}.${signature(secret, stem, customer)}`;
  if (!equalSecrets(id, expected)) return undefined;
  return splitRequestId(id);
}

/**
 * Takes a request id apart without checking its signature.
 *
 * @example
 * ```ts
 * splitRequestId("kigali.a.x1.7.AbCdEfGhIjKlMnOp").home.zone; // "kigali"
 * ```
 */
export function splitRequestId(id: RequestId): RequestIdParts {
  const [zone = "", instance = "", incarnation = "", sequence = "0"] = id
    .split(".");
  return {
    home: { zone, instance, incarnation },
    sequence: Number(sequence),
  };
}

function signature(secret: string, stem: string, customer: string): string {
  return sign(secret, `${stem}|${customer}`, SIGNATURE_BYTES);
}
