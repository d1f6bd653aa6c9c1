import type { Effect } from "./effect.ts";

/** What a scheduler asks its driver to do. */
export type SchedulerCommand =
  /** Perform the effect and report its result under the same number. */
  | { kind: "perform"; number: number; effect: Effect }
  /** The result of this effect is no longer wanted; a timer can be cleared. */
  | { kind: "abandon"; number: number }
  /** Answer a call. */
  | { kind: "answer"; id: number; answer: unknown };
