/**
 * Hashing, by the Node.js `crypto` module.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Hashes strings to one unsigned 32-bit number, the same on every machine.
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
 * Hashes text to a hexadecimal SHA-256 digest, used to compare request bodies.
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
 * Compares two strings in a time that does not depend on where they differ.
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
