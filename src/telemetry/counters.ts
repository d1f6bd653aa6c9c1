import { Counter, Histogram, Registry } from "prom-client";

/** Upper bounds of the buckets of latency histograms, in milliseconds. */
const LATENCY_BUCKETS_MS = [
  1,
  2,
  5,
  10,
  20,
  50,
  100,
  200,
  500,
  1_000,
  2_000,
  5_000,
  10_000,
];

const NAME_PREFIX = "samphirestage_";

/** Prometheus counters and latency histograms. */
export type Counters = {
  /** Increments a counter by one. */
  count(name: string, labels?: Record<string, string>): void;
  /** Records a latency, in milliseconds, in a histogram. */
  observe(name: string, elapsedMs: number): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
};

/**
 * Creates an empty set of counters.
 *
 * @example
 * ```ts
 * const counters = createCounters();
 * counters.count("calls", { outcome: "accepted" });
 * counters.observe("append_ms", 12.5);
 * ```
 */
export function createCounters(): Counters {
  const registry = new Registry();
  const counters = new Map<string, Counter>();
  const histograms = new Map<string, Histogram>();
  return {
    count(name, labels = {}) {
      const existing = counters.get(name);
      const counter = existing ?? new Counter({
        name: `${NAME_PREFIX}${name}_total`,
        help: name,
        labelNames: Object.keys(labels),
        registers: [registry],
      });
      counters.set(name, counter);
      counter.inc(labels);
    },
    observe(name, elapsedMs) {
      const existing = histograms.get(name);
      const histogram = existing ?? new Histogram({
        name: NAME_PREFIX + name,
        help: `${name}, in milliseconds`,
        buckets: LATENCY_BUCKETS_MS,
        registers: [registry],
      });
      histograms.set(name, histogram);
      histogram.observe(elapsedMs);
    },
    render: () => registry.metrics(),
  };
}
