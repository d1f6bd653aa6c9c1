import { randomBytes } from "node:crypto";
import { digest } from "../base/mod.ts";

/** Length of a request id, in hexadecimal digits. */
const ID_LENGTH = 16;
const BYTES_PER_ID = ID_LENGTH / 2;
const ID_PATTERN = /^[0-9a-f]{16}$/;

/**
 * Generates a random request id.
 *
 * @example
 * ```ts
 * generateRequestId(); // "5c0e7a21d94b36f8"
 * ```
 */
export function generateRequestId(): string {
  return randomBytes(BYTES_PER_ID).toString("hex");
}

/**
 * Derives the request id from a customer's idempotency key. Every instance
 * derives the same id.
 *
 * @example
 * ```ts
 * const id = deriveRequestId("order-desk", "run-2026-04-12");
 * ```
 */
export function deriveRequestId(customer: string, key: string): string {
  return digest(`${customer}|${key}`).slice(0, ID_LENGTH);
}

/** Whether a text has the form of a request id. */
export function isRequestId(text: string): boolean {
  return ID_PATTERN.test(text);
}
