import { Buffer } from "node:buffer";
import { createHmac, randomBytes } from "node:crypto";
import type { ClientAccount } from "../model/mod.ts";

const SECRET_BYTES = 32;

/** Finds the client account of a key. */
export type KeyIndex = {
  /**
   * The name of the account that has a key; undefined if none has it. The time
   * that it takes depends on the length of the given key, and not on the keys of
   * the accounts.
   */
  accountOf(key: Buffer): string | undefined;
};

/**
 * Creates an index of the keys of all accounts. It holds their digests under a
 * secret of its own, so that callers cannot choose what is compared.
 *
 * @example
 * ```ts
 * const index = createKeyIndex(configuration.clientAccounts);
 * const name = index.accountOf(Buffer.from("key"));
 * ```
 */
export function createKeyIndex(
  accounts: readonly ClientAccount[],
): KeyIndex {
  const secret = randomBytes(SECRET_BYTES);
  const digestOf = (key: Buffer) =>
    createHmac("sha256", secret).update(key).digest("base64");
  const names = new Map<string, string>();
  for (const { name, keys } of accounts) {
    for (const key of keys) names.set(digestOf(Buffer.from(key)), name);
  }
  return { accountOf: (key) => names.get(digestOf(key)) };
}
