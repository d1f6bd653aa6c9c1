/**
 * Publishes manifests. The log decides between operators that race.
 *
 * @module
 */
import { diagnostics, formatDiagnostic } from "../diagnostics/mod.ts";
import { manifestRecordOf, manifestVerdict } from "../log_state/mod.ts";
import type { Manifest } from "../model/mod.ts";
import { commit } from "./appends.ts";
import type { Flow } from "./flow.ts";
import { problem } from "./problem.ts";
import type { Scheduler } from "./scheduler.ts";
import { LOG_TOPIC } from "./topics.ts";
import type { CallAnswer } from "./view.ts";
import { waitForNotice } from "./waits.ts";

/** How long a publication waits for the log. */
const PUBLISH_TIMEOUT_MS = 5_000;

/** Publishes a manifest on top of the version it was built on. */
export function* publish(
  scheduler: Scheduler,
  author: string,
  changeId: string,
  baseVersion: number,
  manifest: Manifest,
): Flow<CallAnswer> {
  const untilMs = scheduler.moment.steadyMs + PUBLISH_TIMEOUT_MS;
  if (manifestVerdict(scheduler.log, changeId).kind === "pending") {
    const change = { changeId, baseVersion, author, manifest };
    const record = manifestRecordOf(scheduler.log, change);
    yield* commit(scheduler, record, PUBLISH_TIMEOUT_MS);
  }
  while (true) {
    const verdict = manifestVerdict(scheduler.log, changeId);
    switch (verdict.kind) {
      case "won":
        return { kind: "published", version: verdict.version };
      case "lost": {
        const message = diagnostics.manifestRaced;
        const detail = formatDiagnostic(
          message,
          changeId,
          baseVersion,
          verdict.versionInForce,
        );
        return problem(409, message.code, detail);
      }
      case "pending":
        break;
    }
    const leftMs = untilMs - scheduler.moment.steadyMs;
    if (leftMs <= 0) return undecided();
    yield* waitForNotice(LOG_TOPIC, leftMs);
  }
}

function undecided(): CallAnswer {
  const { code, template } = diagnostics.publishUndecided;
  return problem(504, code, template);
}
