import type { Call } from "./call.ts";

/** What happens to a scheduler from outside. */
export type SchedulerEvent =
  | { kind: "started" }
  /** An effect that a flow waits for has a result. */
  | { kind: "completed"; effect: number; result: unknown }
  /** A caller, an operator or a peer asks for something. */
  | { kind: "called"; id: number; call: Call }
  /** The instance shall hand over its workers and stop. */
  | { kind: "draining" };

/** When an event happened. */
export type Moment = {
  /** Steady clock, in milliseconds. */
  steadyMs: number;
  /** Wall clock, in milliseconds since the epoch. */
  wallMs: number;
};
