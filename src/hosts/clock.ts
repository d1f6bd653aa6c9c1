/** The clock, injected so that tests can control time. */
export type Clock = {
  /** Wall clock, in milliseconds since the Unix epoch. */
  nowMs(): number;
  /** Steady (monotonic) clock, in milliseconds; its origin is arbitrary. */
  steadyMs(): number;
  /**
   * Resolves after a delay.
   *
   * @param delayMs the delay in milliseconds
   * @param signal ends the delay early; the promise then resolves immediately
   */
  sleep(delayMs: number, signal: AbortSignal): Promise<void>;
};
