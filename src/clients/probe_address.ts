import { connect } from "node:net";

/** What a probe of an address found. */
export type ProbeOutcome =
  | "listening"
  /** No process listens, although the instance is up. */
  | "refused"
  /** No answer in time. */
  | "silent";

/**
 * Probes whether a process listens at a TCP address. The operating system
 * accepts the connection, so a process that is busy counts as listening until
 * its queue of connections to accept is full; one that has ended, or whose
 * instance is down or partitioned, does not.
 *
 * @param timeoutMs timeout for opening the connection, in milliseconds
 *
 * @example
 * ```ts
 * const outcome = await probeAddress("10.1.0.30", 7380, 250);
 * ```
 */
export function probeAddress(
  host: string,
  port: number,
  timeoutMs: number,
): Promise<ProbeOutcome> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (outcome: ProbeOutcome) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    // After a blocked event loop, pending socket events are handled first.
    const timer = setTimeout(
      () => setImmediate(() => end("silent")),
      timeoutMs,
    );
    socket.once("connect", () => end("listening"));
    socket.once("error", ({ code }: NodeJS.ErrnoException) => {
      const isRefused = code === "ECONNREFUSED" || code === "ECONNRESET";
      end(isRefused ? "refused" : "silent");
    });
  });
}
