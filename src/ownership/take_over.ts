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

/** Pause before a failed call of a takeover is repeated, in milliseconds. */
const RETRY_DELAY_MS = 60;
/** Sequence number of the append that raises the epoch. */
const FIRST_SEQUENCE = 0;

/** What a takeover needs. */
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

/** A domain that was taken over. */
export type Takeover = { domain: Domain; sequence: number };

/**
 * Takes a domain over: records itself as the owner under the new epoch, after
 * which no earlier owner can write, and restores the state from the newest
 * record of each key.
 *
 * @returns the domain, or the fault where a higher epoch exists or this
 * instance has written under the epoch before: an append of that time may
 * still be carried out, and a repeated number is taken for a repeated append
 *
 * @example
 * ```ts
 * const taken = await takeOver(host);
 * ```
 */
export async function takeOver(
  host: TakeoverHost,
): Promise<Result<Takeover, StoreFault>> {
  const { store, partition, epoch, signal, clock, logger } = host;
  const startedAtMs = clock.steadyMs();
  const record = ownerRecord({ instance: host.self, epoch });
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
    elapsedMs: Math.round(clock.steadyMs() - startedAtMs),
  });
  return ok({ domain, sequence: FIRST_SEQUENCE + 1 });
}

/** Repeats a call until it succeeds, is fenced, or the signal ends it. */
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
