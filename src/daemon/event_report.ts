import type { LogLevel, LogPart, MetricName } from "../telemetry/mod.ts";

/** How an event of the time line is logged and counted. */
export type EventReport = {
  part: LogPart;
  level: LogLevel;
  sentence: string;
  counter?: MetricName<"counter">;
};

/** How each event of the time line is logged and counted, by its name. */
export const eventReports: Record<string, EventReport> = {
  "instance.draining": report(
    "daemon",
    "info",
    "Handing over before the stop.",
  ),
  "instance.drained": report("daemon", "info", "Nothing is left to hand over."),
  "instance.reincarnated": report(
    "membership",
    "warn",
    "Peers barred this incarnation; going on under a new one.",
  ),
  "member.barred": report("membership", "warn", "Barred a silent peer."),
  "worker.acquired": report(
    "leases",
    "info",
    "Acquired the worker.",
    "leasesAcquired",
  ),
  "worker.lost": report("leases", "warn", "Lost the worker.", "leasesLost"),
  "worker.silent": report("leases", "warn", "The worker does not answer."),
  "worker.reached": report("leases", "info", "The worker answers again."),
  "worker.unreachable": report("leases", "warn", "Cannot acquire the worker."),
  "worker.leaving": report("leases", "info", "The worker is leaving."),
  "worker.gone": report("leases", "warn", "The worker left the list."),
  "start.refused": report(
    "placement",
    "info",
    "The worker refused a start.",
    "startsRefused",
  ),
  "request.accepted": report(
    "requests",
    "debug",
    "Accepted a request.",
    "requestsAccepted",
  ),
  "request.ended": report(
    "requests",
    "debug",
    "A request ended.",
    "requestsEnded",
  ),
  "request.cancelled": report("requests", "info", "Cancelled a request."),
  "request.shed": report(
    "requests",
    "warn",
    "Refused waiting work of a customer that holds too much of the queue.",
  ),
  "request.moved": report("requests", "debug", "Moved work to a peer."),
  "request.taken": report("requests", "debug", "Took work for a peer."),
  "request.copied": report("requests", "info", "Kept a copy for the log."),
  "request.adopted": report("requests", "info", "Adopted durable work."),
  "service.replacing": report(
    "placement",
    "info",
    "Starting a successor of a replica on a leaving worker.",
  ),
  "task.started": report(
    "placement",
    "debug",
    "A task started.",
    "tasksStarted",
  ),
  "task.repeated": report("requests", "info", "Repeating an idempotent task."),
  "task.finished": report(
    "requests",
    "debug",
    "A task finished.",
    "tasksFinished",
  ),
  "task.failed": report("requests", "info", "A task failed.", "tasksFailed"),
  "task.stopped": report("requests", "info", "A task was stopped."),
  "task.lost": report(
    "requests",
    "error",
    "A task was lost; it may have run.",
    "tasksLost",
  ),
  "task.didNotRun": report(
    "requests",
    "info",
    "A task did not run.",
    "requestsRefused",
  ),
  "manifest.inForce": report("manifest", "info", "A manifest is in force."),
  "log.reached": report("log", "info", "The log answers."),
  "log.lost": report("log", "warn", "The log does not answer.", "logFailures"),
  "log.gap": report("log", "warn", "The log trimmed unread entries."),
  "log.refused": report("log", "error", "The log refused a record."),
};

function report(
  part: LogPart,
  level: LogLevel,
  sentence: string,
  counter?: MetricName<"counter">,
): EventReport {
  return counter === undefined
    ? { part, level, sentence }
    : { part, level, sentence, counter };
}
