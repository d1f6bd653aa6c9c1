import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { Shape } from "./shapes.ts";

const PROGRAM = fileURLToPath(new URL("./crowd_process.js", import.meta.url));

/** Clients of a port of 127.0.0.1 that behave alike. */
export type CrowdOptions = {
  port: number;
  shape: Shape;
  connectionCount: number;
  /** How often each connection is opened again after it was closed. */
  reopenCount: number;
};

/**
 * Starts a crowd, which stays connected until it is stopped.
 *
 * @example
 * ```ts
 * const crowd = startCrowd({ port, shape, connectionCount: 60, reopenCount: 5 });
 * await stopCrowd(crowd);
 * ```
 */
export function startCrowd(options: CrowdOptions): ChildProcess {
  const crowd = fork(PROGRAM);
  crowd.send(options);
  return crowd;
}

/** Closes the connections of a crowd. */
export async function stopCrowd(crowd: ChildProcess): Promise<void> {
  if (crowd.exitCode !== null || crowd.signalCode !== null) return;
  const ended = once(crowd, "close");
  crowd.kill("SIGKILL");
  await ended;
}
