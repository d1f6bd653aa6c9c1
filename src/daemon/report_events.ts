/**
 * Logs and counts what the time line of an instance records.
 *
 * @module
 */
import process from "node:process";
import { periodic } from "most";
import { type Scheduler, statusOf } from "../instance/mod.ts";
import type { TimeLineEvent } from "../model/mod.ts";
import type { LogFields, Logger, MetricSender } from "../telemetry/mod.ts";
import { eventsAfter } from "../time_line/mod.ts";
import { eventReports } from "./event_report.ts";

/** How often new events are looked for. */
const REPORT_INTERVAL_MS = 500;

/**
 * Reports events and gauges until the signal ends it.
 *
 * @example
 * ```ts
 * reportEvents(scheduler, logger, metrics, signal);
 * ```
 */
export function reportEvents(
  scheduler: Scheduler,
  logger: Logger,
  metrics: MetricSender,
  signal: AbortSignal,
): Promise<unknown> {
  let last = 0;
  return periodic(REPORT_INTERVAL_MS)
    .takeWhile(() => !signal.aborted)
    .observe(() => {
      const part = eventsAfter(scheduler.timeLine, last);
      last = part.last;
      for (const event of part.events) {
        logEvent(logger, event);
        countEvent(scheduler, metrics, event);
      }
      sendGauges(scheduler, metrics);
    });
}

function logEvent(logger: Logger, event: TimeLineEvent): void {
  const report = eventReports[event.name];
  if (report === undefined) return;
  const fields: LogFields = {
    ...(event.subject === undefined ? {} : { subject: event.subject }),
    ...(event.detail === undefined ? {} : { detail: event.detail }),
  };
  logger.part(report.part)[report.level](report.sentence, fields);
}

function countEvent(
  scheduler: Scheduler,
  metrics: MetricSender,
  event: TimeLineEvent,
): void {
  const counter = eventReports[event.name]?.counter;
  if (counter !== undefined) metrics.count(counter);
  if (event.name !== "task.started" || event.subject === undefined) return;
  const requestId = event.subject.slice(0, event.subject.lastIndexOf("/"));
  const entry = scheduler.requests.get(requestId);
  if (entry?.role !== "home") return;
  metrics.time("waitTime", event.atMs - entry.request.acceptedAtMs);
}

function sendGauges(scheduler: Scheduler, metrics: MetricSender): void {
  const status = statusOf(scheduler);
  metrics.gauge("queuedTasks", status.queued);
  metrics.gauge("runningTasks", status.running);
  metrics.gauge("ownedWorkers", status.workers);
  metrics.gauge("liveMembers", status.members.length);
  metrics.gauge("manifestVersion", status.version);
  metrics.gauge("logWaiting", scheduler.pendingAppends);
  metrics.gauge("residentBytes", process.memoryUsage.rss());
}
