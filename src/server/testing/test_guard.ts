import { type ClientGuard, createClientGuard } from "../client_guard.ts";
import { deriveClientLimits } from "../client_limits.ts";

/** Creates a guard with the default limits, whose refusals nobody counts. */
export function createTestGuard(): ClientGuard {
  const machine = { memoryMb: 256, descriptors: 4_096, peerPorts: 1 };
  return createClientGuard({
    limits: deriveClientLimits(machine, {
      headTimeoutMs: 15_000,
      bodyGraceMs: 15_000,
      bodyBytesPerS: 4_096,
      unreadAnswerMs: 30_000,
    }),
    onRefusal: () => {},
    onReport: () => {},
    signal: new AbortController().signal,
  });
}
