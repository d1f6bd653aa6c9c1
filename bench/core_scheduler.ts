import type { Randomness } from "../src/hosts/mod.ts";
import {
  createPlacement,
  type Preference,
  stepPlacement,
} from "../src/placement/mod.ts";
import type { Scheduler } from "./scheduler.ts";

const MAX_QUEUED_TASKS = 20_000;

/** The placement core as a scheduler. */
export function createCoreScheduler(
  preference: Preference,
  randomness: Randomness,
): Scheduler {
  const placement = createPlacement({
    preference,
    randomness,
    maxQueuedTasks: MAX_QUEUED_TASKS,
  });
  return (event, atMs) => stepPlacement(placement, event, atMs);
}
