import { connect } from "node:net";

/**
 * Tells whether something listens at an address. The system accepts the
 * connection, so a process that is merely busy counts as listening; one that
 * has ended, or whose instance is down or cut off, does not.
 *
 * @param timeoutMs how long the connection may take, in milliseconds
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
    // A process that was too busy reads what has arrived before it decides.
    const timer = setTimeout(() => setImmediate(() => end(false)), timeoutMs);
    socket.once("connect", () => end(true));
    socket.once("error", () => end(false));
  });
}
