import { connect } from "node:net";

/**
 * Returns whether a process listens at a TCP address. The operating system
 * accepts the connection, so a process that is busy counts as listening; one
 * that has ended, or whose instance is down or partitioned, does not.
 *
 * @param timeoutMs timeout for opening the connection, in milliseconds
 *
 * @example
 * ```ts
 * const isListening = await probeAddress("10.1.0.30", 7380, 250);
 * ```
 */
export function probeAddress(
  host: string,
  port: number,
  timeoutMs: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (isListening: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isListening);
    };
    // After a blocked event loop, pending socket events are handled first.
    const timer = setTimeout(() => setImmediate(() => end(false)), timeoutMs);
    socket.once("connect", () => end(true));
    socket.once("error", () => end(false));
  });
}
