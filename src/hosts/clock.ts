/** The clock that the pure parts are given. */
export type Clock = {
  /** Wall clock, in milliseconds since the epoch. */
  nowMs(): number;
  /** Steady clock that never goes back, in milliseconds. */
  steadyMs(): number;
  /**
   * Resolves after a delay.
   *
   * @param delayMs the delay in milliseconds
   * @param signal ends the delay early; the promise then resolves at once
   */
  sleep(delayMs: number, signal: AbortSignal): Promise<void>;
};
