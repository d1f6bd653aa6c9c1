/**
 * Resolves at the next wake-up, after a delay, or when the caller leaves.
 *
 * @param waiters the functions that wake those who wait
 * @param waitMs the delay in milliseconds
 */
export function waitForWake(
  waiters: Set<() => void>,
  waitMs: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    const wake = () => {
      clearTimeout(timer);
      waiters.delete(wake);
      signal.removeEventListener("abort", wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    waiters.add(wake);
    signal.addEventListener("abort", wake);
  });
}
