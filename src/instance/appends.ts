/**
 * Records on their way into the log. Every record repeats harmlessly, so an
 * append whose answer was lost is simply made again.
 *
 * @module
 */
import type { LogRecord } from "../log_state/mod.ts";
import type { Flow } from "./flow.ts";
import { notify, spawn } from "./runner.ts";
import { note, type Scheduler } from "./scheduler.ts";
import { appendRecord, sleep, waitForNotice } from "./waits.ts";

/** Delay before a failed append is made again. */
const APPEND_RETRY_MS = 250;

/**
 * Puts a record into the log without waiting for it.
 *
 * @returns the topic that is notified when the record is durable
 */
export function commitInBackground(
  scheduler: Scheduler,
  record: LogRecord,
): string {
  const topic = `appended:${scheduler.runner.nextNumber++}`;
  spawn(scheduler.runner, appendUntilDurable(scheduler, record, topic));
  return topic;
}

/**
 * Puts a record into the log and waits until it is durable.
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

function* appendUntilDurable(
  scheduler: Scheduler,
  record: LogRecord,
  topic: string,
): Flow<void> {
  scheduler.pendingAppends++;
  while (true) {
    const result = yield* appendRecord(record);
    if (result.isOk()) {
      notify(scheduler.runner, topic);
      break;
    }
    if (result.error.kind === "refused") {
      note(scheduler, "log.refused", record.kind, result.error.message);
      break;
    }
    yield* sleep(APPEND_RETRY_MS);
  }
  scheduler.pendingAppends--;
}
