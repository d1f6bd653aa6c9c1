/** Part of a budget that is free after evictions, so that they are few. */
const FREE_SHARE = 1 / 8;

/** Something that takes memory for a client that has not been served yet. */
export type ByteHolder = {
  /** IP address of the client. */
  readonly address: string;
  /** Called when it has to give its memory up. */
  evict(): void;
};

/** Limits on the memory of all holders together, in bytes. */
export type ByteLimits = {
  totalBytes: number;
  /** Limit for the holders of one address. */
  addressBytes: number;
};

/** Bounds the memory that clients take together. */
export type ByteBudget = {
  /**
   * Records how much a holder takes now. Beyond a limit, the largest holders
   * are evicted, which may include this one.
   */
  hold(holder: ByteHolder, bytes: number): void;
  /** Forgets a holder. */
  release(holder: ByteHolder): void;
  /** How much all holders take, in bytes. */
  heldBytes(): number;
};

type Account = { bytes: number; holders: Map<ByteHolder, number> };

/**
 * Creates a budget. The largest holders of the address that takes most are
 * evicted first: a small body that arrives at once stays, whoever else sends.
 *
 * @example
 * ```ts
 * const budget = createByteBudget({ totalBytes: 2 ** 24, addressBytes: 2 ** 23 });
 * budget.hold(body, 4_096);
 * budget.release(body);
 * ```
 */
export function createByteBudget(limits: ByteLimits): ByteBudget {
  const accounts = new Map<string, Account>();
  let totalBytes = 0;

  function release(holder: ByteHolder): void {
    const account = accounts.get(holder.address);
    const bytes = account?.holders.get(holder);
    if (account === undefined || bytes === undefined) return;
    account.holders.delete(holder);
    account.bytes -= bytes;
    totalBytes -= bytes;
    if (account.holders.size === 0) accounts.delete(holder.address);
  }

  function evictLargest(account: Account, excessBytes: number): void {
    const largestFirst = [...account.holders].sort((a, b) => b[1] - a[1]);
    let freedBytes = 0;
    for (const [holder, bytes] of largestFirst) {
      if (freedBytes >= excessBytes) return;
      freedBytes += bytes;
      release(holder);
      holder.evict();
    }
  }

  function evictFromLargestAccounts(): void {
    const target = limits.totalBytes * (1 - FREE_SHARE);
    while (totalBytes > target) {
      let largest: Account | undefined;
      for (const account of accounts.values()) {
        if (largest === undefined || account.bytes > largest.bytes) {
          largest = account;
        }
      }
      if (largest === undefined) return;
      evictLargest(largest, totalBytes - target);
    }
  }

  return {
    hold(holder, bytes) {
      let account = accounts.get(holder.address);
      if (account === undefined) {
        account = { bytes: 0, holders: new Map() };
        accounts.set(holder.address, account);
      }
      const addedBytes = bytes - (account.holders.get(holder) ?? 0);
      account.holders.set(holder, bytes);
      account.bytes += addedBytes;
      totalBytes += addedBytes;
      if (account.bytes > limits.addressBytes) {
        const target = limits.addressBytes * (1 - FREE_SHARE);
        evictLargest(account, account.bytes - target);
      }
      if (totalBytes > limits.totalBytes) evictFromLargestAccounts();
    },
    release,
    heldBytes: () => totalBytes,
  };
}
