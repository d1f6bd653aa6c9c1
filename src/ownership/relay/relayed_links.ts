/**
 * The worker links that an owner delegates to relays. One exchange with a relay
 * replaces many with workers, which saves CPU time on the owner and traffic
 * between availability zones.
 *
 * @module
 */
import { createChildController } from "../../base/mod.ts";
import type { DomainEvent } from "../../domain/mod.ts";
import type { Clock, Partition, WorkerTarget } from "../../hosts/mod.ts";
import type { Counters, PartLogger } from "../../telemetry/mod.ts";
import type { WorkerLink } from "../worker_link.ts";
import { createSuspensionMeter } from "../suspension_meter.ts";
import { createBatchReceiver } from "./batch_receiver.ts";
import { type BatchSender, createBatchSender } from "./batch_sender.ts";
import {
  chooseRelay,
  createTieBreaker,
  type RelayPeer,
} from "./relay_choice.ts";
import type { RelayCall } from "./relay_server.ts";
import type {
  RelayEvent,
  RelayMessage,
  RelayReportAnswer,
} from "./relay_message.ts";
import type { RelayReport, RelayReportRouter } from "./relay_report_router.ts";

/** How long a relay may grant leases after its last renewal, in ms. */
export const RELAY_GRANT_MS = 1_500;
/** A relay is dropped after this time without a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;
/** How often relays are checked for missing reports, in milliseconds. */
const REPORT_CHECK_INTERVAL_MS = 100;
/** A longer time between two checks means this process stalled, in ms. */
const PROCESS_STALL_MS = 250;
/** How long a dropped relay is excluded from selection, in milliseconds. */
const RELAY_COOLDOWN_MS = 5_000;
/** Maximum time between two batches to a relay, in milliseconds. */
const KEEP_ALIVE_INTERVAL_MS = 2_000;

/** Dependencies of relayed links. */
export type RelayedLinksHost = {
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  /** Address of this instance. */
  self: string;
  /** Address of this instance that relays report to. */
  reportAddress: string;
  /** Returns a unique session id. */
  newSession(): string;
  epoch: number;
  /** The partition of the domain. */
  partition: Partition;
  sessions: RelayReportRouter;
  /** The instances that can serve as relays. */
  peers(): RelayPeer[];
  /** Sends a batch to a relay; undefined if no answer arrived. */
  post(relay: string, call: RelayCall): Promise<"taken" | "closed" | undefined>;
  /** Duration of the leases that workers get, in milliseconds. */
  leaseMs: number;
  /** How long this owner may still grant leases, in milliseconds. */
  grantMs(): number;
  /** How far from now a lease may end at the latest, in milliseconds. */
  leaseLimitMs(): number;
  /** Time until leases of earlier owners have certainly expired, in ms. */
  earlierLeasesRemainingMs(): number;
  emit(event: DomainEvent): void;
  onFenced(cause: string): void;
  /** The links to these workers are lost and must be reopened. */
  onLinksLost(workers: string[]): void;
  signal: AbortSignal;
};

/** Target of a link, and the state of an earlier link that it continues. */
export type RelayedLinkOptions = {
  target: WorkerTarget;
  zone: string;
  /**
   * Start time of the worker incarnation that `acknowledged` refers to, in
   * milliseconds since the epoch; 0 if nothing has been acknowledged.
   */
  bornMs: number;
  /** The highest acknowledged end of that incarnation. */
  acknowledged: number;
  /** The known incarnation, see `Incarnations`. */
  knownBornMs?: number;
  /** Time until leases of an earlier link have certainly expired, in ms. */
  floorMs: number;
};

/** The links of an owner that relays hold. */
export type RelayedLinks = {
  /** Opens a link; undefined if no relay is available for the zone. */
  open(
    options: RelayedLinkOptions,
    signal: AbortSignal,
  ): WorkerLink | undefined;
  /** Whether a relay is available for workers of a zone. */
  hasRelay(zone: string): boolean;
  /** Sends all relays the remaining time of earlier owners' leases. */
  sendLeaseFloor(): void;
};

type Relay = {
  peer: RelayPeer;
  sender: BatchSender<RelayMessage>;
  workers: Set<string>;
  lastReportAtMs: number;
  controller: AbortController;
};

/**
 * Creates relayed links without any link open.
 *
 * @example
 * ```ts
 * const relayed = createRelayedLinks(host);
 * const link = relayed.open(options, signal);
 * ```
 */
export function createRelayedLinks(host: RelayedLinksHost): RelayedLinks {
  const { clock, signal } = host;
  const relays = new Map<string, Relay>();
  const tieBreakerOf = createTieBreaker(host.partition.number);
  const cooldownUntilMs = new Map<string, number>();
  const suspensions = createSuspensionMeter(clock);
  let isMonitoring = false;

  /**
   * The steady clock plus all suspensions: the clocks of relays advance while
   * this process is suspended.
   */
  function relayClockMs(): number {
    return clock.steadyMs() + suspensions.totalMs();
  }

  /** Converts the time of a worker report to the steady clock. */
  function toOwnerEvent(
    event: Exclude<RelayEvent, { kind: "fenced" }>,
  ): DomainEvent {
    if (event.kind !== "looked") return event;
    const sentAtMs = event.look.sentAtMs - suspensions.totalMs();
    return { ...event, look: { ...event.look, sentAtMs } };
  }

  function choose(zone: string): RelayPeer | undefined {
    const nowMs = clock.steadyMs();
    const usable = host.peers().filter(({ address }) =>
      address !== host.self && (cooldownUntilMs.get(address) ?? 0) <= nowMs
    );
    return chooseRelay(
      usable,
      zone,
      (address) => relays.get(address)?.workers.size ?? 0,
      tieBreakerOf,
    );
  }

  function startRelay(peer: RelayPeer): Relay {
    const { address } = peer;
    const sessionId = host.newSession();
    const controller = createChildController(signal);
    const sender = createBatchSender<RelayMessage>({
      clock,
      keepAliveIntervalMs: KEEP_ALIVE_INTERVAL_MS,
      post: async (batch) =>
        await host.post(address, {
          ...batch,
          session: sessionId,
          owner: host.reportAddress,
          instance: host.self,
          epoch: host.epoch,
          ownerMs: relayClockMs(),
        }) ?? "failed",
      onClosed: () => dropRelay(relay, "relay does not know the session"),
      signal: controller.signal,
    });
    const relay: Relay = {
      peer,
      sender,
      workers: new Set(),
      lastReportAtMs: clock.steadyMs(),
      controller,
    };
    const receiver = createBatchReceiver<RelayEvent>((event) =>
      event.kind === "fenced"
        ? handleFenced(relay, event)
        : host.emit(toOwnerEvent(event))
    );
    host.sessions.register(
      sessionId,
      (report) => handleReport(relay, receiver.accept, report),
      controller.signal,
    );
    relays.set(address, relay);
    if (!isMonitoring) monitorRelays();
    host.logger.info("Opened a relay session for worker links.", {
      instance: address,
      zone: peer.zone,
    });
    sender.send({ kind: "floor", floorMs: host.earlierLeasesRemainingMs() });
    return relay;
  }

  /**
   * Ends the ownership, unless the relay does not hold the link any more: a link
   * that was opened elsewhere has a higher fence.
   */
  function handleFenced(
    { peer, workers }: Relay,
    { cause, worker }: Extract<RelayEvent, { kind: "fenced" }>,
  ): void {
    if (worker === undefined || workers.has(worker)) {
      return host.onFenced(cause);
    }
    host.logger.info("A worker refused a relay that has lost its link.", {
      worker,
      instance: peer.address,
    });
  }

  function handleReport(
    relay: Relay,
    accept: (report: RelayReport) => void,
    report: RelayReport,
  ): RelayReportAnswer {
    if (report.keepsFences !== true) {
      dropRelay(relay, "relay of an earlier version");
      return { kind: "closed" };
    }
    relay.lastReportAtMs = clock.steadyMs();
    accept(report);
    if (report.isLeaving) dropRelay(relay, "relay is shutting down");
    if (relay.controller.signal.aborted) return { kind: "closed" };
    const leaseLimitMs = host.leaseLimitMs();
    const grantMs = Math.min(
      RELAY_GRANT_MS,
      host.grantMs(),
      // A relay of an earlier version grants leases of full length.
      report.keepsLeaseLimit === true ? Infinity : leaseLimitMs - host.leaseMs,
    );
    return {
      kind: "granted",
      grantMs: Math.max(0, grantMs),
      leaseLimitMs,
      ownerMs: relayClockMs(),
    };
  }

  function dropRelay(relay: Relay, reason: string): void {
    const { address } = relay.peer;
    if (relays.get(address) !== relay) return;
    relays.delete(address);
    cooldownUntilMs.set(address, clock.steadyMs() + RELAY_COOLDOWN_MS);
    relay.controller.abort();
    host.counters.count("relays_lost");
    host.logger.warn("Lost a relay that held worker links.", {
      instance: address,
      links: relay.workers.size,
      reason,
    });
    if (!signal.aborted) host.onLinksLost([...relay.workers]);
  }

  /** Drops relays that stop reporting; returns when none is left. */
  async function monitorRelays(): Promise<void> {
    isMonitoring = true;
    while (!signal.aborted && relays.size > 0) {
      const sleepStartedAtMs = clock.steadyMs();
      await clock.sleep(REPORT_CHECK_INTERVAL_MS, signal);
      const nowMs = clock.steadyMs();
      // Reports may have arrived unread while this process was stalled.
      const wasStalled = nowMs - sleepStartedAtMs > PROCESS_STALL_MS;
      for (const relay of [...relays.values()]) {
        if (wasStalled) {
          relay.lastReportAtMs = Math.max(
            relay.lastReportAtMs,
            sleepStartedAtMs,
          );
        } else if (nowMs - relay.lastReportAtMs > REPORT_TIMEOUT_MS) {
          dropRelay(relay, "no reports from the relay");
        }
      }
    }
    isMonitoring = false;
  }

  return {
    open({ target, zone, ...known }, linkSignal) {
      const peer = choose(zone);
      if (peer === undefined) return undefined;
      const relay = relays.get(peer.address) ?? startRelay(peer);
      const worker = target.id;
      const { sender } = relay;
      relay.workers.add(worker);
      const { address, fence } = target;
      sender.send({ kind: "open", worker, address, fence, ...known });
      linkSignal.addEventListener("abort", () => {
        relay.workers.delete(worker);
        sender.send({ kind: "close", worker });
      });
      return {
        address: target.address,
        order: (order) => sender.send({ kind: "order", order }),
        acknowledge: (bornMs, lastEnd) =>
          sender.send({ kind: "acknowledge", worker, bornMs, lastEnd }),
      };
    },
    hasRelay: (zone) => choose(zone) !== undefined,
    sendLeaseFloor() {
      for (const { sender } of relays.values()) {
        sender.send({
          kind: "floor",
          floorMs: host.earlierLeasesRemainingMs(),
        });
      }
    },
  };
}
