import type { Instance } from "../model/mod.ts";
import type { Heartbeat } from "./heartbeat.ts";

/** The state of a member as one instance sees it. */
export type MemberState = "live" | "leaving" | "dead" | "barred";

/** One incarnation of a peer whose heartbeat arrived. */
export type Member = {
  instance: Instance;
  /** The latest heartbeat. */
  heartbeat: Heartbeat;
  /** When the latest heartbeat arrived, on the steady clock. */
  heardAtMs: number;
  /** Since when its silence counts, on the steady clock. */
  silentSinceMs: number;
};
