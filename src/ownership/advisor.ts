/**
 * Distributes advice requests to the placement policy over the entry instances.
 * The policy accepts one call at a time from each instance, so each instance is
 * a lane, and a request waits until a lane is free. Short requests use the
 * fastest free lane and long ones the slowest, since the latency of a slow lane
 * adds little to the duration of a long request. While other lanes work, a lane
 * whose last request failed is only tried with copies of requests that they
 * serve, so that no request waits for an instance that does not answer.
 *
 * @module
 */
import type { Advice, AdviceRequest, Clock } from "../hosts/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";

/** Requests that cost more than this are long, in milliseconds. */
const MAX_SHORT_REQUEST_MS = 120;
/** The fraction of the lanes, the fastest, reserved for short requests. */
const SHORT_LANE_FRACTION = 0.25;
/** How long a lane is not used after a failure, in milliseconds. */
const FAILED_LANE_PAUSE_MS = 1_500;
/** Weight of the latest request in the moving average of the overhead. */
const OVERHEAD_WEIGHT = 0.2;

/** Dependencies of an advisor. */
export type AdvisorHost = {
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  /** Addresses of the available entry instances, including this one. */
  instances(): string[];
  /** Sends a request to the policy through an instance; undefined on failure. */
  requestAdvice(
    instance: string,
    request: AdviceRequest,
  ): Promise<Advice | undefined>;
  /** Takes the most urgent request whose cost does not exceed the limit. */
  takeAdviceRequest(maxCostMs: number): AdviceRequest | undefined;
  onAnswer(request: AdviceRequest, advice: Advice | undefined): void;
  signal: AbortSignal;
};

/** Sends requests to the placement policy while lanes are free. */
export type Advisor = { dispatch(): void };

type Lane = {
  /** The instance that calls the policy. */
  instance: string;
  isBusy: boolean;
  /** Whether its last request failed. */
  hasFailed: boolean;
  pausedUntilMs: number;
  /** Moving average of the time beyond the cost of requests, in ms. */
  overheadMs: number;
};

/**
 * Creates an advisor with all lanes free.
 *
 * @example
 * ```ts
 * const advisor = createAdvisor(host);
 * advisor.dispatch();
 * ```
 */
export function createAdvisor(host: AdvisorHost): Advisor {
  const lanes = new Map<string, Lane>();

  function dispatch(): void {
    while (!host.signal.aborted) {
      const { free, open, failed } = freeLanes();
      if (free.length === 0) return;
      const limitMs = open.length > 0 ? Infinity : MAX_SHORT_REQUEST_MS;
      const request = host.takeAdviceRequest(limitMs);
      if (request === undefined) return;
      const isShort = request.costMs <= MAX_SHORT_REQUEST_MS;
      serve(isShort ? free[0]! : open.at(-1)!, request);
      for (const lane of failed) tryAgain(lane, request);
    }
  }

  /**
   * The free lanes, fastest first, those of them open to any request, and the
   * failed lanes to be tried with a copy.
   */
  function freeLanes(): { free: Lane[]; open: Lane[]; failed: Lane[] } {
    const nowMs = host.clock.steadyMs();
    const all = listLanes();
    const working = all.filter((lane) => !lane.hasFailed);
    const usable = working.length > 0 ? working : all;
    const byOverhead = usable.sort((left, right) =>
      left.overheadMs - right.overheadMs
    );
    const isFree = (lane: Lane) => !lane.isBusy && lane.pausedUntilMs <= nowMs;
    return {
      free: byOverhead.filter(isFree),
      open: byOverhead.slice(shortLaneCount(byOverhead.length)).filter(isFree),
      failed: working.length > 0
        ? all.filter((lane) => lane.hasFailed && isFree(lane))
        : [],
    };
  }

  /** The lanes of the available instances; forgets those of other instances. */
  function listLanes(): Lane[] {
    const instances = host.instances();
    const available = new Set(instances);
    for (const instance of lanes.keys()) {
      if (!available.has(instance)) lanes.delete(instance);
    }
    return instances.map(laneOf);
  }

  function laneOf(instance: string): Lane {
    const known = lanes.get(instance);
    if (known !== undefined) return known;
    const lane = {
      instance,
      isBusy: false,
      hasFailed: false,
      pausedUntilMs: 0,
      overheadMs: 0,
    };
    lanes.set(instance, lane);
    return lane;
  }

  async function serve(lane: Lane, request: AdviceRequest): Promise<void> {
    const advice = await send(lane, request, { isCopy: false });
    if (host.signal.aborted) return;
    host.onAnswer(request, advice);
    dispatch();
  }

  /** Sends a copy, whose answer only shows whether the lane works again. */
  async function tryAgain(lane: Lane, request: AdviceRequest): Promise<void> {
    const advice = await send(lane, request, { isCopy: true });
    if (advice !== undefined) dispatch();
  }

  /** Sends a request through a lane, and records how the lane did. */
  async function send(
    lane: Lane,
    request: AdviceRequest,
    { isCopy }: { isCopy: boolean },
  ): Promise<Advice | undefined> {
    lane.isBusy = true;
    const sentAtMs = host.clock.steadyMs();
    const advice = await host.requestAdvice(lane.instance, request);
    lane.isBusy = false;
    const nowMs = host.clock.steadyMs();
    const elapsedMs = nowMs - sentAtMs;
    host.counters.observe("advice_ms", elapsedMs);
    lane.hasFailed = advice === undefined;
    if (lane.hasFailed) {
      lane.pausedUntilMs = nowMs + FAILED_LANE_PAUSE_MS;
    } else {
      const overheadMs = Math.max(0, elapsedMs - request.costMs);
      lane.overheadMs += OVERHEAD_WEIGHT * (overheadMs - lane.overheadMs);
    }
    host.logger.info("Finished an advice request.", {
      step: request.stepKey,
      workers: request.workers.length,
      allowed: advice?.allowed.length ?? -1,
      through: lane.instance,
      elapsedMs: Math.round(elapsedMs),
      costMs: Math.round(request.costMs),
      isCopy,
    });
    return advice;
  }

  return { dispatch };
}

/** The number of lanes reserved for short requests; never all lanes. */
function shortLaneCount(lanes: number): number {
  return Math.min(Math.ceil(lanes * SHORT_LANE_FRACTION), lanes - 1);
}
