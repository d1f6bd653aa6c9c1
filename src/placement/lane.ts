import type { WaitingGroup } from "./waiting_group.ts";

/** Groups of one agreement, kind of work and urgency, oldest first. */
export type Lane = {
  agreement: string;
  work: string;
  urgency: number;
  /** How many tasks wait in the lane. */
  waiting: number;
  groups: WaitingGroup[];
  /** Position of the first group that may still wait. */
  next: number;
};
