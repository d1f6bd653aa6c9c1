/** The parts of the daemon that write logs; each entry names its part. */
export const LOG_PARTS = [
  "daemon",
  "manifest",
  "ownership",
  "domain",
  "entry",
  "store",
] as const;

/** A part of the daemon that writes logs. */
export type LogPart = typeof LOG_PARTS[number];
