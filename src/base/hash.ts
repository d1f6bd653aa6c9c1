/**
 * Hashing and secret comparison with the Node.js `crypto` module.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Hashes strings to an unsigned 32-bit integer, independent of the machine.
 *
 * @example
 * ```ts
 * const weight = hash32("kigali-1", "worker-7");
 * ```
 *
 * @param parts the strings, hashed in this order with a separator
 * @returns an integer from 0 to 2^32 - 1
 */
export function hash32(...parts: string[]): number {
  return createHash("sha1").update(parts.join("\0")).digest().readUInt32BE(0);
}

/**
 * Returns the hexadecimal SHA-256 digest of a text, for example to compare
 * request bodies.
 *
 * @example
 * ```ts
 * digest("body") === digest("body"); // true
 * ```
 */
export function digest(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/**
 * Compares two strings in constant time, to prevent timing attacks.
 *
 * @example
 * ```ts
 * equalSecrets(given, expected);
 * ```
 */
export function equalSecrets(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}
