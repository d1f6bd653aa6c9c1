import { silentLogger } from "../../entry/testing/manual_clock.ts";
import type { Clock, TaskHost } from "../../hosts/mod.ts";
import { createCounters } from "../../telemetry/mod.ts";
import { firstFence } from "../fence.ts";
import type { WorkerLinkHost } from "../worker_link_state.ts";

/** Length of the leases that links of tests grant, in milliseconds. */
export const LEASE_MS = 5_000;

/** The longest lease that workers of tests grant, in milliseconds. */
export const MAX_LEASE_MS = 10_000;

/** The fence of the first calls over links of tests. */
export const FIRST_FENCE = firstFence(1, 0);

/** Dependencies of a link, apart from the calls to its worker. */
export function hostOf(
  tasks: TaskHost,
  clock: Clock,
  signal: AbortSignal,
): WorkerLinkHost {
  return {
    tasks,
    clock,
    logger: silentLogger,
    counters: createCounters(),
    target: { id: "w", address: "10.0.0.1:1", fence: FIRST_FENCE },
    leaseMs: LEASE_MS,
    maxLeaseMs: MAX_LEASE_MS,
    earlierLeasesExpireAtMs: () => 0,
    mayHoldEarlierLease: () => false,
    unacknowledgedPollDelayMs: 80,
    mayGrantLeases: () => true,
    leaseLimitMs: () => Infinity,
    resumeFrom: { bornMs: 0, acknowledged: 0 },
    ownerClockMs: clock.steadyMs,
    emit() {},
    isCurrent: () => true,
    onFenced() {},
    signal,
  };
}
