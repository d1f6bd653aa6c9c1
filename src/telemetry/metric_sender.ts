import type { StatsD } from "hot-shots";
import { type MetricName, metrics } from "./metric.ts";

/** Where metrics are sent, in the StatsD format over UDP. */
export type MetricSettings = {
  /** Address by IP number. */
  host: string;
  port: number;
  /** Put before every name, such as `samphirestage`. */
  prefix: string;
  /** Id of the instance, sent as a tag. */
  process: string;
};

/** Sends metrics. No call throws, waits, or keeps the process alive. */
export type MetricSender = {
  count(name: MetricName<"counter">, by?: number): void;
  gauge(name: MetricName<"gauge">, value: number): void;
  /** @param elapsedMs the time taken, in milliseconds */
  time(name: MetricName<"timer">, elapsedMs: number): void;
  /** Sends what is buffered, and sends nothing after. */
  close(): Promise<void>;
};

/** The most bytes of one datagram. */
const MAX_DATAGRAM_BYTES = 1_200;
/** How long metrics are buffered, in milliseconds. */
const FLUSH_INTERVAL_MS = 1_000;

/**
 * Creates the sender of metrics. Without settings nothing is sent, and the
 * library is not loaded.
 *
 * @example
 * ```ts
 * const sender = await createMetrics(settings.metrics);
 * sender.count("tasksStarted");
 * sender.gauge("queuedTasks", queue.length);
 * sender.time("decisionTime", 0.4);
 * ```
 */
export async function createMetrics(
  settings: MetricSettings | undefined,
): Promise<MetricSender> {
  if (settings === undefined) return createSilentSender();
  const { StatsD } = await import("hot-shots");
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: settings.prefix,
    globalTags: { process: settings.process },
    includeDataDogTags: false,
    maxBufferSize: MAX_DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    errorHandler: () => {
      // Metrics may be lost; the daemon goes on.
    },
  });
  return createSender(client);
}

function createSender(client: StatsD): MetricSender {
  let isClosed = false;
  return {
    count(name, by = 1) {
      if (!isClosed) client.increment(metrics[name].name, by);
    },
    gauge(name, value) {
      if (!isClosed) client.gauge(metrics[name].name, value);
    },
    time(name, elapsedMs) {
      if (!isClosed) client.timing(metrics[name].name, elapsedMs);
    },
    close() {
      if (isClosed) return Promise.resolve();
      isClosed = true;
      return new Promise((resolve) => client.close(() => resolve()));
    },
  };
}

function createSilentSender(): MetricSender {
  return {
    count() {},
    gauge() {},
    time() {},
    close: () => Promise.resolve(),
  };
}
