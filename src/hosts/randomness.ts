/** The source of random numbers, injected so that tests can seed it. */
export type Randomness = {
  /** Returns an integer between `low` and `high`, both inclusive. */
  integer(low: number, high: number): number;
};
