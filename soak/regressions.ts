/** Seeds that failed in the past, with the cause; rerun as regressions. */
export const regressions = [
  {
    seed: 1,
    seconds: 10,
    callers: 16,
    cause: "An instance that could not reach an owner rejected a retry with " +
      "`ran: false`, although an earlier call with the same id had run.",
  },
  {
    seed: 2,
    seconds: 10,
    callers: 16,
    cause: "Two errors in the soak: it waited for the outcome of requests " +
      "that were cancelled before any instance accepted them, and it " +
      "required a completed run of every gang member, also of one on a " +
      "worker that was disconnected.",
  },
] as const;
