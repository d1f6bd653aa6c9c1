import { err, ok, type Result } from "neverthrow";
import {
  createDomain,
  type Domain,
  type DomainOptions,
  ownerRecord,
  restoreDomain,
} from "../domain/mod.ts";
import type { Clock, Partition, StoreFault, StoreHost } from "../hosts/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";
import { currentInstant, type Instant } from "./instant.ts";
import {
  CONFIRMED_LEASE_MS,
  UNWITNESSED_GRANT_MS,
  WITNESSED_LEASE_MS,
} from "./lease_time.ts";

/** Delay before a failed store call is retried, in milliseconds. */
const RETRY_DELAY_MS = 60;
/** Sequence number of the append that raises the epoch. */
const FIRST_SEQUENCE = 0;

/** Dependencies of a takeover. */
export type TakeoverHost = {
  store: StoreHost;
  clock: Clock;
  logger: PartLogger;
  partition: Partition;
  epoch: number;
  /** Address of this instance. */
  self: string;
  options: DomainOptions;
  signal: AbortSignal;
};

/** A restored domain. */
export type Takeover = {
  domain: Domain;
  /** Sequence number of the next append. */
  sequence: number;
  /** When the append that raised the epoch was first sent. */
  epochRaisedAt: Instant;
};

/**
 * Takes over a domain: appends this instance as the owner under the new epoch,
 * which fences all earlier owners, and restores the state from the newest
 * record of each key.
 *
 * @returns the domain, or the store's fault if a higher epoch exists or this
 * instance has already written under this epoch. In the latter case an earlier
 * append may still be in flight, and the store would treat a new append with a
 * reused sequence number as a retry of the earlier one
 *
 * @example
 * ```ts
 * const takeover = await takeOver(host);
 * ```
 */
export async function takeOver(
  host: TakeoverHost,
): Promise<Result<Takeover, StoreFault>> {
  const { store, partition, epoch, signal, clock, logger } = host;
  const epochRaisedAt = currentInstant(clock);
  const record = ownerRecord({
    instance: host.self,
    epoch,
    unwitnessedGrantMs: UNWITNESSED_GRANT_MS,
    leaseLimits: {
      witnessedMs: WITNESSED_LEASE_MS,
      confirmedMs: CONFIRMED_LEASE_MS,
    },
  });
  const fence = { epoch, sequence: FIRST_SEQUENCE };
  const ownerAppend = await retryUntilFinal(
    host,
    () => store.append(partition, [record], fence, signal),
  );
  if (ownerAppend.isErr()) return err(ownerAppend.error);
  const newest = await retryUntilFinal(
    host,
    () => store.newest(partition, signal),
  );
  if (newest.isErr()) return err(newest.error);
  const domain = createDomain(host.options);
  const unreadableRecords = restoreDomain(
    domain,
    newest.value.records,
    clock.steadyMs(),
  );
  for (const { key, reason } of unreadableRecords) {
    logger.error("Skipped an unreadable record.", { key, reason });
  }
  logger.info("Took over a domain.", {
    partition: partition.number,
    epoch,
    records: newest.value.records.length,
    jobs: domain.jobs.size,
    unsettledWorkers: domain.unsettledWorkers.size,
    elapsedMs: Math.round(clock.steadyMs() - epochRaisedAt.steadyMs),
  });
  return ok({ domain, sequence: FIRST_SEQUENCE + 1, epochRaisedAt });
}

/**
 * Retries a store call until it succeeds, fails for good (`fenced` or
 * `sequence`), or the signal aborts.
 */
async function retryUntilFinal<Value>(
  host: TakeoverHost,
  call: () => Promise<Result<Value, StoreFault>>,
): Promise<Result<Value, StoreFault>> {
  while (true) {
    const result = await call();
    if (result.isOk()) return result;
    const { kind } = result.error;
    const isFinal = kind === "fenced" || kind === "sequence" ||
      host.signal.aborted;
    if (isFinal) return result;
    host.logger.warn("A store call of a takeover failed.", {
      epoch: host.epoch,
      step: result.error.step,
      fault: result.error.kind,
      cause: result.error.message,
    });
    await host.clock.sleep(RETRY_DELAY_MS, host.signal);
  }
}
