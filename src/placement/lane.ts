import type { Resources } from "../model/mod.ts";
import type { WaitingGroup } from "./waiting_group.ts";

/** Groups of one agreement, kind of work and urgency, oldest first. */
export type Lane = {
  agreement: string;
  work: string;
  urgency: number;
  /** How many tasks wait in the lane. */
  waiting: number;
  /** What every task that came by this lane needed at least. */
  smallest: Resources;
  groups: WaitingGroup[];
  /** Position of the first group that may still wait. */
  next: number;
};
