import type { PlacementCommand, PlacementEvent } from "../src/placement/mod.ts";

/** What a benchmark drives: the placement core, or a baseline. */
export type Scheduler = (
  event: PlacementEvent,
  atMs: number,
) => PlacementCommand[];
