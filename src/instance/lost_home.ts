/**
 * What became of a request whose home is gone, by the records of its peers.
 *
 * @module
 */
import { diagnostics } from "../diagnostics/mod.ts";
import { endedOf } from "../log_state/mod.ts";
import type { Outcome, TaskOutcome, TaskRecord } from "../model/mod.ts";
import { commit } from "./appends.ts";
import type { Flow } from "./flow.ts";
import { type Search, searchPeers } from "./search.ts";
import { homeSettled, notKnown, RETRY_AFTER_MS } from "./refusals.ts";
import type { Sighting } from "./peer_message.ts";
import { homeOf } from "./report_flow.ts";
import type { RequestIdParts } from "./request_ids.ts";
import { outcomeOf } from "./task_end.ts";
import { isKept, type Scheduler } from "./scheduler.ts";
import { LOG_TOPIC } from "./topics.ts";
import { ABSENCE_PROOF_MS } from "./unremembered.ts";
import type { CallAnswer } from "./view.ts";
import { emptyView } from "./views.ts";
import { waitForNotice } from "./waits.ts";

/** The most that the clocks of two instances differ by. */
const CLOCK_ALLOWANCE_MS = 2_000;
/** How long the log may take to void a request. */
const VOID_TIMEOUT_MS = 2_000;

/** Whether a request is durable work, as far as its caller has told. */
export type KnownDurability = "durable" | "volatile" | "unknown";

/** Finds out from the peers what became of a request whose home is gone. */
export function* answerForLostHome(
  scheduler: Scheduler,
  requestId: string,
  parts: RequestIdParts,
  durability: KnownDurability,
): Flow<CallAnswer> {
  const ended = endedOf(scheduler.log, requestId);
  if (ended !== undefined) {
    return { kind: "view", view: emptyView(requestId, ended) };
  }
  const home = homeOf(scheduler, requestId);
  const search = yield* searchPeers(scheduler, home, requestId, []);
  const found = search.outcome ??
    outcomeOfSearch(search, isSure(scheduler, parts, search));
  const isVoid = found.kind === "didNotRun" && search.outcome === undefined;
  const outcome = isVoid && durability !== "volatile"
    ? yield* voidInLog(scheduler, requestId)
    : found;
  return { kind: "view", view: emptyView(requestId, outcome) };
}

/**
 * Makes sure that a request is not accepted work after all, of which this
 * instance has not read yet: the log decides which record came first.
 */
function* voidInLog(scheduler: Scheduler, requestId: string): Flow<Outcome> {
  if (!scheduler.logReachable) return notKnown();
  const record = { kind: "voided", requestId } as const;
  if (!(yield* commit(scheduler, record, VOID_TIMEOUT_MS))) return notKnown();
  const untilMs = scheduler.moment.steadyMs + VOID_TIMEOUT_MS;
  while (true) {
    const ended = endedOf(scheduler.log, requestId);
    if (ended !== undefined) return ended;
    const leftMs = untilMs - scheduler.moment.steadyMs;
    if (leftMs <= 0 || isKept(scheduler, requestId)) return notKnown();
    yield* waitForNotice(LOG_TOPIC, leftMs);
  }
}

/** Tells whether a task that nobody has seen surely never ran. */
function isSure(
  scheduler: Scheduler,
  parts: RequestIdParts,
  search: Search,
): boolean {
  const { wallMs } = scheduler.moment;
  const issuedAtMs = parts.sequence - CLOCK_ALLOWANCE_MS;
  const isRemembered = wallMs - issuedAtMs < ABSENCE_PROOF_MS;
  const isWitnessed = search.witnessedSinceMs < issuedAtMs;
  return search.complete && !search.kept && isRemembered && isWitnessed;
}

/** Puts the answer together from what workers and peers remember. */
function outcomeOfSearch(search: Search, sure: boolean): Outcome {
  const sightings = [...search.sightings.values()];
  if (sightings.some((sighting) => sighting.kind === "queued")) {
    return notKnown();
  }
  const records = sightings.flatMap((sighting) =>
    sighting.kind === "record" ? [sighting.record] : []
  );
  if (records.some(isLive)) return running();
  const ended = sightings.flatMap(endOf);
  const count = records[0]?.task.count;
  if (ended.length === 0) return sure ? homeSettled() : notKnown();
  if (ended.some((outcome) => outcome.kind === "lost")) return notKnown();
  if (count === undefined || ended.length < count && !sure) return notKnown();
  const cause = diagnostics.homeSettled.template;
  const tasks = Array.from(
    { length: count },
    (_, index): TaskOutcome =>
      ended.find((outcome) => outcome.index === index) ??
        { kind: "didNotRun", index, cause },
  );
  return { kind: "ran", tasks };
}

function endOf(sighting: Sighting): TaskOutcome[] {
  switch (sighting.kind) {
    case "record":
      return [outcomeOf(sighting.worker, sighting.record)];
    case "ended":
      return [sighting.outcome];
    case "queued":
    case "refused":
    case "returned":
    case "leaving":
      return [];
  }
}

function running(): Outcome {
  return {
    kind: "notKnownYet",
    state: "running",
    cause: diagnostics.stillRunning.template,
    retryAfterMs: RETRY_AFTER_MS,
  };
}

function isLive(record: TaskRecord): boolean {
  return record.state === "running" || record.state === "checkpointed";
}
