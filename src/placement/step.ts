import type { Placement } from "./placement.ts";
import type { PlacementCommand } from "./placement_command.ts";

/** One event being worked on: the state, the time, the commands so far. */
export type Step = {
  placement: Placement;
  /** Wall clock, in milliseconds since the epoch. */
  atMs: number;
  commands: PlacementCommand[];
};
