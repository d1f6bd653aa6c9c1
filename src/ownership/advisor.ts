/**
 * Spreads questions to the placement policy over the entry instances. The
 * policy takes one call at a time from each instance, so each instance is a
 * lane; a question waits until a lane is free.
 *
 * @module
 */
import type { Advice, AdviceQuestion, Clock } from "../hosts/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";

/** Questions that take longer than this are long, in milliseconds. */
const SHORT_QUESTION_MS = 120;
/** The part of the lanes that long questions leave free. */
const SHORT_LANE_SHARE = 0.25;
/** How long a lane that failed is left alone, in milliseconds. */
const FAILED_LANE_PAUSE_MS = 1_500;

/** A question that waits for a lane. */
export type WaitingQuestion = AdviceQuestion & {
  priority: number;
  latestStartMs: number;
};

/** What an advisor needs. */
export type AdvisorHost = {
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  /** Addresses of the entry instances that can be asked, this one included. */
  instances(): string[];
  /** Asks through one instance; undefined where that failed. */
  askThrough(
    instance: string,
    question: AdviceQuestion,
  ): Promise<Advice | undefined>;
  /** Whether the answer is still wanted. */
  isWanted(question: WaitingQuestion): boolean;
  onAnswer(question: AdviceQuestion, advice: Advice | undefined): void;
  signal: AbortSignal;
};

/** Asks questions in order of urgency. */
export type Advisor = { ask(question: WaitingQuestion): void };

/**
 * Creates an advisor without questions.
 *
 * @example
 * ```ts
 * const advisor = createAdvisor(host);
 * advisor.ask({ stepKey, workers, costMs: 40, priority: 0, latestStartMs });
 * ```
 */
export function createAdvisor(host: AdvisorHost): Advisor {
  let waiting: WaitingQuestion[] = [];
  const busy = new Map<string, { isLong: boolean }>();
  const pausedUntilMs = new Map<string, number>();

  function dispatch(): void {
    if (host.signal.aborted) return;
    waiting = waiting.filter((question) => {
      if (host.isWanted(question)) return true;
      host.onAnswer(question, undefined);
      return false;
    });
    waiting.sort((left, right) =>
      left.priority - right.priority ||
      left.latestStartMs - right.latestStartMs
    );
    const lanes = freeLanes();
    const longLimit = longLaneLimit(host.instances().length);
    waiting = waiting.filter((question) => {
      const isLong = question.costMs > SHORT_QUESTION_MS;
      if (isLong && countLong() >= longLimit) return true;
      const lane = lanes.shift();
      if (lane === undefined) return true;
      send(lane, question, isLong);
      return false;
    });
  }

  function freeLanes(): string[] {
    const nowMs = host.clock.steadyMs();
    return host.instances().filter((instance) =>
      !busy.has(instance) && (pausedUntilMs.get(instance) ?? 0) <= nowMs
    );
  }

  function countLong(): number {
    return [...busy.values()].filter((lane) => lane.isLong).length;
  }

  async function send(
    lane: string,
    question: WaitingQuestion,
    isLong: boolean,
  ): Promise<void> {
    busy.set(lane, { isLong });
    const sentAtMs = host.clock.steadyMs();
    const advice = await host.askThrough(lane, question);
    busy.delete(lane);
    const elapsedMs = host.clock.steadyMs() - sentAtMs;
    host.counters.observe("advice_ms", elapsedMs);
    if (advice === undefined) {
      pausedUntilMs.set(lane, host.clock.steadyMs() + FAILED_LANE_PAUSE_MS);
    }
    host.logger.info("Asked the placement policy.", {
      step: question.stepKey,
      workers: question.workers.length,
      allowed: advice?.allowed.length ?? -1,
      through: lane,
      elapsedMs: Math.round(elapsedMs),
      waiting: waiting.length,
    });
    if (host.signal.aborted) return;
    host.onAnswer(question, advice);
    dispatch();
  }

  return {
    ask(question) {
      waiting.push(question);
      dispatch();
    },
  };
}

function longLaneLimit(lanes: number): number {
  return Math.max(1, lanes - Math.ceil(lanes * SHORT_LANE_SHARE));
}
