/** The accounts that have a time series of their own, in each owner. */
const MAX_LABELLED_ACCOUNTS = 10;

/** Labels of client accounts in metrics. */
export type AccountLabels = {
  /** Returns the label of an account; it is empty for most of many accounts. */
  of(account: string): string;
};

/**
 * Creates labels of a bounded number: the first accounts that are counted keep
 * their names, and all others share an empty label.
 *
 * @example
 * ```ts
 * const labels = createAccountLabels();
 * labels.of("shop"); // "shop"
 * ```
 */
export function createAccountLabels(): AccountLabels {
  const labelled = new Set<string>();
  return {
    of(account) {
      if (labelled.has(account)) return account;
      if (labelled.size === MAX_LABELLED_ACCOUNTS) return "";
      labelled.add(account);
      return account;
    },
  };
}
