/** Seeds that showed a fault once, with its cause; kept and run again. */
export const regressions = [
  {
    seed: 1,
    seconds: 10,
    callers: 16,
    cause:
      "A repeat was refused with `ran: false` by an instance that reached " +
      "no owner, though an earlier call under the same id had run.",
  },
  {
    seed: 2,
    seconds: 10,
    callers: 16,
    cause: "The soak itself: it waited for the outcome of requests that were " +
      "cancelled before anybody took them on, and took a gang's member " +
      "that was cut off for one that had to end by itself.",
  },
] as const;
