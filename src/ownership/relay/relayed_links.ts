/**
 * The links of an owner that other instances hold for it. One exchange with a
 * relay stands for many with workers, so the owner's processor and the lines
 * between availability zones carry batches instead of calls.
 *
 * @module
 */
import { createChildController } from "../../base/mod.ts";
import type { DomainEvent } from "../../domain/mod.ts";
import type { Clock, Partition, WorkerTarget } from "../../hosts/mod.ts";
import type { Counters, PartLogger } from "../../telemetry/mod.ts";
import type { WorkerLink } from "../worker_link.ts";
import { createBatchReceiver } from "./batch_receiver.ts";
import { type BatchSender, createBatchSender } from "./batch_sender.ts";
import { chooseRelay, type RelayPeer } from "./relay_choice.ts";
import type { RelayCall } from "./relay_holder.ts";
import type {
  RelayedAnswer,
  RelayEvent,
  RelayMessage,
} from "./relay_message.ts";
import type { RelayReport, RelaySessions } from "./relay_sessions.ts";

/** How long a relay may grant leases without word from the owner, in ms. */
export const RELAY_GRANT_MS = 1_500;
/** A relay without a report for this long is given up, in milliseconds. */
const SILENT_MS = 1_000;
const WATCH_INTERVAL_MS = 100;
/** A pause longer than this was a delay of this process, in milliseconds. */
const LATE_WATCH_MS = 250;
/** How long a relay that was given up is not chosen again, in ms. */
const AVOIDED_MS = 5_000;
/** A batch is sent at this interval at least, in milliseconds. */
const IDLE_MS = 2_000;

/** What relayed links need. */
export type RelayedLinksHost = {
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  /** Address of this instance. */
  self: string;
  /** Names a session; no other has the same name. */
  newSession(): string;
  epoch: number;
  /** The partition of the domain. */
  partition: Partition;
  sessions: RelaySessions;
  /** The instances that may hold links. */
  peers(): RelayPeer[];
  /** Sends a batch; undefined where no answer came. */
  post(relay: string, call: RelayCall): Promise<"taken" | "closed" | undefined>;
  /** For how long leases may still be granted, in milliseconds. */
  grantMs(): number;
  /** Until leases of earlier owners have surely lapsed, in milliseconds. */
  earlierLeasesMs(): number;
  emit(event: DomainEvent): void;
  onFenced(cause: string): void;
  /** The links to these workers are gone and have to be opened anew. */
  onLost(workers: string[]): void;
  signal: AbortSignal;
};

/** What a link continues. */
export type LinkStart = {
  target: WorkerTarget;
  zone: string;
  /** What has been acknowledged of which incarnation. */
  bornMs: number;
  acknowledged: number;
  /** Until leases of an earlier link have surely lapsed, in milliseconds. */
  floorMs: number;
};

/** The links that relays hold. */
export type RelayedLinks = {
  /** Opens a link; undefined where no instance can hold it. */
  open(start: LinkStart, signal: AbortSignal): WorkerLink | undefined;
  /** Whether an instance can hold links to workers of a zone. */
  hasRelay(zone: string): boolean;
  /** Tells the relays how long leases of earlier owners may last. */
  updateFloor(): void;
};

type Relay = {
  peer: RelayPeer;
  sender: BatchSender<RelayMessage>;
  workers: Set<string>;
  heardAtMs: number;
  ending: AbortController;
};

/**
 * Creates a set without links.
 *
 * @example
 * ```ts
 * const relayed = createRelayedLinks(host);
 * const link = relayed.open(start, signal);
 * ```
 */
export function createRelayedLinks(host: RelayedLinksHost): RelayedLinks {
  const { clock, signal } = host;
  const relays = new Map<string, Relay>();
  const avoidedUntilMs = new Map<string, number>();
  let isWatching = false;

  function choose(zone: string): RelayPeer | undefined {
    const nowMs = clock.steadyMs();
    const usable = host.peers().filter(({ address }) =>
      address !== host.self && (avoidedUntilMs.get(address) ?? 0) <= nowMs
    );
    return chooseRelay(
      usable,
      zone,
      (address) => relays.get(address)?.workers.size ?? 0,
      host.partition.number,
    );
  }

  function begin(peer: RelayPeer): Relay {
    const { address } = peer;
    const session = host.newSession();
    const ending = createChildController(signal);
    const sender = createBatchSender<RelayMessage>({
      clock,
      idleMs: IDLE_MS,
      post: async (batch) =>
        await host.post(address, {
          ...batch,
          session,
          owner: host.self,
          epoch: host.epoch,
          ownerMs: clock.steadyMs(),
        }) ?? "failed",
      onClosed: () => lose(relay, "it does not know the session"),
      signal: ending.signal,
    });
    const relay: Relay = {
      peer,
      sender,
      workers: new Set(),
      heardAtMs: clock.steadyMs(),
      ending,
    };
    const receiver = createBatchReceiver<RelayEvent>((event) =>
      event.kind === "fenced" ? host.onFenced(event.cause) : host.emit(event)
    );
    host.sessions.open(
      session,
      (report) => takeReport(relay, receiver.accept, report),
      ending.signal,
    );
    relays.set(address, relay);
    if (!isWatching) watch();
    host.logger.info("Has an instance hold links to workers.", {
      instance: address,
      zone: peer.zone,
    });
    sender.send({ kind: "floor", floorMs: host.earlierLeasesMs() });
    return relay;
  }

  function takeReport(
    relay: Relay,
    accept: (report: RelayReport) => void,
    report: RelayReport,
  ): RelayedAnswer {
    relay.heardAtMs = clock.steadyMs();
    accept(report);
    if (report.isLeaving) lose(relay, "it is stopping");
    if (relay.ending.signal.aborted) return { kind: "closed" };
    const grantMs = Math.min(RELAY_GRANT_MS, Math.max(0, host.grantMs()));
    return { kind: "granted", grantMs, ownerMs: clock.steadyMs() };
  }

  function lose(relay: Relay, reason: string): void {
    const { address } = relay.peer;
    if (relays.get(address) !== relay) return;
    relays.delete(address);
    avoidedUntilMs.set(address, clock.steadyMs() + AVOIDED_MS);
    relay.ending.abort();
    host.counters.count("relays_lost");
    host.logger.warn("Lost an instance that held links to workers.", {
      instance: address,
      links: relay.workers.size,
      reason,
    });
    if (!signal.aborted) host.onLost([...relay.workers]);
  }

  /** Gives up relays that do not report, while there is any relay. */
  async function watch(): Promise<void> {
    isWatching = true;
    while (!signal.aborted && relays.size > 0) {
      const beganAtMs = clock.steadyMs();
      await clock.sleep(WATCH_INTERVAL_MS, signal);
      const nowMs = clock.steadyMs();
      // Reports that wait to be read in a busy process are no silence.
      const isLate = nowMs - beganAtMs > LATE_WATCH_MS;
      for (const relay of [...relays.values()]) {
        if (isLate) relay.heardAtMs = Math.max(relay.heardAtMs, beganAtMs);
        else if (nowMs - relay.heardAtMs > SILENT_MS) {
          lose(relay, "it does not report");
        }
      }
    }
    isWatching = false;
  }

  return {
    open({ target, zone, ...known }, linkSignal) {
      const peer = choose(zone);
      if (peer === undefined) return undefined;
      const relay = relays.get(peer.address) ?? begin(peer);
      const worker = target.id;
      const { sender } = relay;
      relay.workers.add(worker);
      sender.send({ kind: "open", worker, address: target.address, ...known });
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
    updateFloor() {
      for (const { sender } of relays.values()) {
        sender.send({ kind: "floor", floorMs: host.earlierLeasesMs() });
      }
    },
  };
}
