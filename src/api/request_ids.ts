import { randomBytes } from "node:crypto";
import { digest } from "../base/mod.ts";

/** Characters of a request id, which is hexadecimal. */
const ID_LENGTH = 16;
const BYTES_PER_ID = ID_LENGTH / 2;
const ID_PATTERN = /^[0-9a-f]{16}$/;

/**
 * Issues a request id that nobody has used.
 *
 * @example
 * ```ts
 * issueRequestId(); // "5c0e7a21d94b36f8"
 * ```
 */
export function generateRequestId(): string {
  return randomBytes(BYTES_PER_ID).toString("hex");
}

/**
 * The request id of a customer's idempotency key: the same at every instance.
 *
 * @example
 * ```ts
 * const id = requestIdOfKey("order-desk", "run-2026-04-12");
 * ```
 */
export function deriveRequestId(customer: string, key: string): string {
  return digest(`${customer}|${key}`).slice(0, ID_LENGTH);
}

/** Whether a text can be the id of a request. */
export function isRequestId(text: string): boolean {
  return ID_PATTERN.test(text);
}
