/**
 * What became of a request whose home is gone, by the records of its peers.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import { endedOf } from "../log_state/mod.ts";
import type { Outcome, TaskOutcome, TaskRecord } from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import { type Search, searchPeers } from "./lookups.ts";
import { homeSettled, notKnown, RETRY_AFTER_MS } from "./refusals.ts";
import { homeOf } from "./report_flow.ts";
import type { RequestIdParts } from "./request_ids.ts";
import { outcomeOf } from "./task_end.ts";
import type { Scheduler } from "./scheduler.ts";
import type { CallAnswer } from "./view.ts";
import { emptyView } from "./views.ts";

/** Allowance for clocks that differ between instances. */
const CLOCK_ALLOWANCE_MS = 60_000;

/** Finds out from the peers what became of a request whose home is gone. */
export function* answerForLostHome(
  scheduler: Scheduler,
  requestId: string,
  parts: RequestIdParts,
): Flow<CallAnswer> {
  const ended = endedOf(scheduler.log, requestId);
  if (ended !== undefined) {
    return { kind: "view", view: emptyView(requestId, ended) };
  }
  const home = homeOf(scheduler, requestId);
  const search = yield* searchPeers(scheduler, home, requestId, []);
  const outcome = search.outcome ??
    outcomeOfSearch(search, isSure(scheduler, requestId, parts, search));
  return { kind: "view", view: emptyView(requestId, outcome) };
}

/** Tells whether a task that nobody has seen surely never ran. */
function isSure(
  scheduler: Scheduler,
  requestId: string,
  parts: RequestIdParts,
  search: Search,
): boolean {
  const isAccepted = scheduler.log.requests.has(requestId) ||
    scheduler.copies.has(requestId);
  const issuedAtMs = parts.sequence - CLOCK_ALLOWANCE_MS;
  const isWitnessed = search.witnessedSinceMs < issuedAtMs;
  return search.complete && !isAccepted && isWitnessed;
}

/** Puts the answer together from the records that workers remember. */
function outcomeOfSearch(search: Search, sure: boolean): Outcome {
  const sightings = [...search.sightings.values()];
  const records = sightings.flatMap((sighting) =>
    sighting.kind === "record" ? [sighting] : []
  );
  const isWaiting = sightings.some((sighting) => sighting.kind === "queued");
  if (isWaiting) return notKnown();
  const first = records[0];
  if (first === undefined) return sure ? homeSettled() : notKnown();
  if (records.some(({ record }) => isLive(record))) {
    return {
      kind: "notKnownYet",
      state: "running",
      cause: diagnostics.stillRunning.template,
      retryAfterMs: RETRY_AFTER_MS,
    };
  }
  const { count } = first.record.task;
  if (records.length < count && !sure) return notKnown();
  const tasks: TaskOutcome[] = [];
  for (let index = 0; index < count; index++) {
    const sighting = records.find(({ record }) => record.task.index === index);
    tasks.push(
      sighting === undefined
        ? { kind: "didNotRun", index, cause: diagnostics.homeSettled.template }
        : outcomeOf(sighting.worker, sighting.record),
    );
  }
  return { kind: "ran", tasks };
}

function isLive(record: TaskRecord): boolean {
  return record.state === "running" || record.state === "checkpointed";
}
