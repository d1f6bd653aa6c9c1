import type { Randomness } from "../hosts/mod.ts";

/**
 * What an instance's owner weighs most: short waits, or little control work
 * and tight packing.
 */
export type Preference = "waiting" | "cost";

/** The settings of a placement core. */
export type PlacementOptions = {
  preference: Preference;
  randomness: Randomness;
  /** How many tasks may wait here at once. */
  maxQueuedTasks: number;
};
