/**
 * What became of a request whose home is gone, by the records of its zone.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import { endedOf } from "../log_state/mod.ts";
import type { Outcome, TaskOutcome, TaskRecord } from "../model/mod.ts";
import type { Flow } from "./flow.ts";
import { searchZone, type ZoneSearch } from "./lookups.ts";
import { homeSettled, notKnown, RETRY_AFTER_MS } from "./refusals.ts";
import type { RequestIdParts } from "./request_ids.ts";
import { outcomeOf } from "./requests.ts";
import type { Scheduler } from "./scheduler.ts";
import type { CallAnswer } from "./view.ts";
import { emptyView } from "./views.ts";

/** Allowance for clocks that differ between instances. */
const CLOCK_ALLOWANCE_MS = 60_000;

/** Finds out in the zone what became of a request whose home is gone. */
export function* answerForLostHome(
  scheduler: Scheduler,
  requestId: string,
  parts: RequestIdParts,
): Flow<CallAnswer> {
  const ended = endedOf(scheduler.log, requestId);
  if (ended !== undefined) {
    return { kind: "view", view: emptyView(requestId, ended) };
  }
  const search = yield* searchZone(scheduler, requestId, []);
  const outcome = search.outcome ??
    outcomeOfSearch(search, isSure(scheduler, requestId, parts, search));
  return { kind: "view", view: emptyView(requestId, outcome) };
}

/** Tells whether a task that nobody has seen surely never ran. */
function isSure(
  scheduler: Scheduler,
  requestId: string,
  parts: RequestIdParts,
  search: ZoneSearch,
): boolean {
  const isAccepted = scheduler.log.requests.has(requestId) ||
    scheduler.copies.has(requestId);
  const issuedAtMs = parts.sequence - CLOCK_ALLOWANCE_MS;
  const isWitnessed = search.witnessedSinceMs < issuedAtMs;
  return search.complete && !isAccepted && isWitnessed;
}

/** Puts the answer together from the records that workers remember. */
function outcomeOfSearch(search: ZoneSearch, sure: boolean): Outcome {
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
