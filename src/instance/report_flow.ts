/**
 * Tells homes what became of their tasks. A report is tried a few times; a
 * home that misses it asks for itself.
 *
 * @module
 */
import { type Holder, holderOf, memberOf } from "../membership/mod.ts";
import { adoptionOf } from "../log_state/mod.ts";
import type { TaskRecord } from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import type { HeldWorker } from "./held_worker.ts";
import {
  acceptanceSchema,
  type PeerMessage,
  type Sighting,
} from "./peer_message.ts";
import { requestIdOf } from "./requests.ts";
import { waitToRetry } from "./retry.ts";
import { spawn } from "./runner.ts";
import { isSelf, type Scheduler, selfHolder } from "./scheduler.ts";
import { splitRequestId } from "./request_ids.ts";
import { callPeer } from "./waits.ts";

/** How often a report is tried. */
const MAX_REPORT_TRIES = 3;
/** Time-out of one report. */
const REPORT_TIMEOUT_MS = 1_000;

/** Sends updates to the home of their tasks, in the background. */
export function reportToHome(
  scheduler: Scheduler,
  home: Holder,
  updates: Sighting[],
): void {
  if (isSelf(scheduler, home)) return;
  spawn(scheduler.runner, sendReport(scheduler, home, updates));
}

/** Reports a record of a task whose home is another live instance. */
export function reportForeignRecord(
  scheduler: Scheduler,
  held: HeldWorker,
  record: TaskRecord,
): void {
  const requestId = requestIdOf(record.task.id);
  const entry = scheduler.requests.get(requestId);
  if (entry?.role === "home") return;
  const home = entry?.home ?? homeOf(scheduler, requestId);
  reportToHome(scheduler, home, [{
    kind: "record",
    worker: held.address.id,
    token: held.token,
    boot: held.boot,
    record,
  }]);
}

/** Returns who answers for a request: its adopter, or the home in its id. */
export function homeOf(scheduler: Scheduler, requestId: string): Holder {
  const adopter = adoptionOf(scheduler.log, requestId)?.holder;
  if (adopter !== undefined) return adopter;
  const { home } = splitRequestId(requestId);
  return holderOf({ id: home.instance, incarnation: home.incarnation });
}

function* sendReport(
  scheduler: Scheduler,
  home: Holder,
  updates: Sighting[],
): Flow<void> {
  for (let tries = 0; tries < MAX_REPORT_TRIES; tries++) {
    const member = memberOf(scheduler.membership, home);
    if (member === undefined) return;
    const from = selfHolder(scheduler);
    const message: PeerMessage = { kind: "report", from, updates };
    const result = yield* callPeer(
      member.url,
      message,
      acceptanceSchema,
      REPORT_TIMEOUT_MS,
    );
    if (result.isOk()) return;
    yield* waitToRetry(scheduler, tries + 1);
  }
}
