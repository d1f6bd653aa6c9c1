/**
 * Records on their way into the log. Every record repeats harmlessly, so an
 * append whose answer was lost is simply made again.
 *
 * @module
 */
import type { LogRecord } from "../log_state/mod.ts";
import type { Flow } from "./flow.ts";
import { notify } from "./runner.ts";
import type { Scheduler } from "./scheduler.ts";
import { APPEND_TOPIC } from "./topics.ts";
import { appendRecords, sleep, waitForNotice } from "./waits.ts";

/** How long the appender sleeps while there is nothing to append. */
const IDLE_WAIT_MS = 60_000;
/** The shortest time between two appends of one instance. */
const APPEND_GAP_MS = 50;
/** Delay after a failed append. */
const APPEND_RETRY_MS = 250;
/** The most records in one append. */
const MAX_APPEND_RECORDS = 500;

/** Queues a record for the log without waiting for it. */
export function commitInBackground(
  scheduler: Scheduler,
  record: LogRecord,
): string {
  const topic = `appended:${scheduler.runner.nextNumber++}`;
  scheduler.pendingAppends.push({ record, topic });
  notify(scheduler.runner, APPEND_TOPIC);
  return topic;
}

/**
 * Queues a record for the log and waits until it is durable.
 *
 * @returns whether it became durable within the time-out; if not, it is still
 * on its way
 */
export function* commit(
  scheduler: Scheduler,
  record: LogRecord,
  timeoutMs: number,
): Flow<boolean> {
  const topic = commitInBackground(scheduler, record);
  return yield* waitForNotice(topic, timeoutMs);
}

/** Appends what is pending, one call at a time, for as long as it runs. */
export function* appendPending(scheduler: Scheduler): Flow<void> {
  while (true) {
    if (scheduler.pendingAppends.length === 0) {
      yield* waitForNotice(APPEND_TOPIC, IDLE_WAIT_MS);
      continue;
    }
    const batch = scheduler.pendingAppends.slice(0, MAX_APPEND_RECORDS);
    const records = batch.map((pending) => pending.record);
    const result = yield* appendRecords(records);
    scheduler.logReachable = result.isOk();
    if (result.isErr()) {
      yield* sleep(APPEND_RETRY_MS);
      continue;
    }
    scheduler.pendingAppends.splice(0, batch.length);
    for (const pending of batch) notify(scheduler.runner, pending.topic);
    yield* sleep(APPEND_GAP_MS);
  }
}
