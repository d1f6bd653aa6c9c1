import type { Clock } from "../hosts/mod.ts";
import type {
  LogFields,
  Logger,
  LogLevel,
  LogPart,
  PartLogger,
} from "../telemetry/mod.ts";
import { recordEvent, type TimeLine } from "../time_line/mod.ts";

/** Fields that name what an entry is about, the most telling first. */
const SUBJECT_FIELDS = ["task", "job", "step", "worker", "instance", "owner"];

/** Records what is logged on the time line as well. */
export function createRecordingLogger(
  logger: Logger,
  timeLine: TimeLine,
  clock: Clock,
): Logger {
  return {
    part: (name) =>
      createRecordingPartLogger(logger.part(name), name, timeLine, clock),
    close: () => logger.close(),
  };
}

function createRecordingPartLogger(
  part: PartLogger,
  name: LogPart,
  timeLine: TimeLine,
  clock: Clock,
): PartLogger {
  const write =
    (level: LogLevel) => (sentence: string, fields: LogFields = {}): void => {
      part[level](sentence, fields);
      const subject = SUBJECT_FIELDS.find((field) => field in fields);
      const others = Object.entries(fields)
        .filter(([field]) => field !== subject)
        .map(([field, value]) => `${field}=${value}`);
      recordEvent(timeLine, {
        atMs: clock.nowMs(),
        name: `${name}: ${sentence}`,
        subject: subject === undefined ? undefined : String(fields[subject]),
        detail: others.length === 0 ? undefined : others.join(" "),
      });
    };
  return {
    error: write("error"),
    warn: write("warn"),
    info: write("info"),
    debug: write("debug"),
  };
}
