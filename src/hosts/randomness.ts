/** The source of random numbers that the pure parts are given. */
export type Randomness = {
  /** Returns an integer from `low` to `high`, both included. */
  integer(low: number, high: number): number;
};
