/**
 * A relay session: worker links that this instance holds for the owner of a
 * domain. They use the owner's epoch, and grant leases only while the owner's
 * grant is valid.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { assertNever, createChildController } from "../../base/mod.ts";
import type { DomainEvent } from "../../domain/mod.ts";
import type { Clock, TaskHost } from "../../hosts/mod.ts";
import type { Counters, PartLogger } from "../../telemetry/mod.ts";
import { openWorkerLink, type WorkerLink } from "../worker_link.ts";
import { type BatchReceiver, createBatchReceiver } from "./batch_receiver.ts";
import { type Batch, createBatchSender } from "./batch_sender.ts";
import { createPendingStarts } from "./pending_starts.ts";
import { createOwnerClockEstimate } from "./owner_clock_estimate.ts";
import { mayHoldEarlierLease } from "../incarnations.ts";
import { currentInstant } from "../instant.ts";
import { createRelayGrant } from "./relay_grant.ts";
import type {
  RelayEvent,
  RelayMessage,
  RelayReportAnswer,
} from "./relay_message.ts";

/**
 * Time until a worker is polled although its ends are not stored, in ms. A relay
 * cannot tell whether the store is slow or the owner is busy, which would get
 * the same ends again.
 */
const UNACKNOWLEDGED_POLL_DELAY_MS = 1_000;

/** How often the grant is renewed with the owner, in milliseconds. */
const GRANT_RENEWAL_INTERVAL_MS = 300;
/** A session ends after this time without an answer from the owner, in ms. */
const OWNER_TIMEOUT_MS = 6_000;

/** Dependencies of a session. */
export type RelaySessionHost = {
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  /** The owner's epoch, which every order carries. */
  epoch: number;
  /** Length of the leases granted to workers, in milliseconds. */
  leaseMs: number;
  /** The longest lease that a worker grants, in milliseconds. */
  maxLeaseMs: number;
  /** Reports events to the owner; undefined if no answer arrived. */
  report(batch: Batch<RelayEvent>): Promise<RelayReportAnswer | undefined>;
  signal: AbortSignal;
};

/** A relay session of one owner. */
export type RelaySession = {
  /** Receives a batch and the owner's clock when it was sent. */
  receive(batch: Batch<RelayMessage>, ownerMs: number): void;
  /** Aborts when the session ends. */
  ended: AbortSignal;
};

type OpenLink = { link: WorkerLink; controller: AbortController };

/**
 * Starts a session without links.
 *
 * @example
 * ```ts
 * const session = startRelaySession(host);
 * session.receive(call, call.ownerMs);
 * ```
 */
export function startRelaySession(host: RelaySessionHost): RelaySession {
  const { clock, logger } = host;
  const controller = new AbortController();
  const { signal } = controller;
  setMaxListeners(0, signal);
  host.signal.addEventListener("abort", () => end("process is shutting down"), {
    signal,
  });
  const links = new Map<string, OpenLink>();
  const pendingStarts = createPendingStarts();
  const grant = createRelayGrant(clock);
  const leaseLimit = createRelayGrant(clock);
  const ownerClock = createOwnerClockEstimate(clock);
  let earlierLeasesExpireAtMs = Infinity;
  const receiver: BatchReceiver<RelayMessage> = createBatchReceiver(
    applyMessage,
  );
  const sender = createBatchSender<RelayEvent>({
    clock,
    keepAliveIntervalMs: GRANT_RENEWAL_INTERVAL_MS,
    async post(batch) {
      const sentAt = currentInstant(clock);
      const answer = await host.report(batch);
      if (answer === undefined) return "failed";
      if (answer.kind === "closed") return "closed";
      grant.extend(sentAt, answer.grantMs);
      leaseLimit.extend(sentAt, answer.leaseLimitMs ?? Infinity);
      ownerClock.addSample(answer.ownerMs);
      return "taken";
    },
    onClosed: () => end("closed by the owner"),
    signal,
  });
  endOnOwnerTimeout();

  function end(reason: string): void {
    if (signal.aborted) return;
    logger.info("Relay session ended.", {
      epoch: host.epoch,
      links: links.size,
      reason,
    });
    controller.abort(reason);
  }

  async function endOnOwnerTimeout(): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(GRANT_RENEWAL_INTERVAL_MS, signal);
      if (sender.sinceLastDeliveryMs() > OWNER_TIMEOUT_MS) {
        end("no answer from the owner");
      }
    }
  }

  function applyMessage(message: RelayMessage): void {
    switch (message.kind) {
      case "open":
        return openLink(message);
      case "close":
        return closeLink(message.worker);
      case "order":
        pendingStarts.recordOrder(message.order);
        links.get(message.order.worker)?.link.order(message.order);
        return;
      case "acknowledge":
        links.get(message.worker)?.link
          .acknowledge(message.bornMs, message.lastEnd);
        return;
      case "floor":
        earlierLeasesExpireAtMs = clock.steadyMs() + message.floorMs;
        return;
      default:
        assertNever(message);
    }
  }

  function openLink(message: Extract<RelayMessage, { kind: "open" }>): void {
    const { worker, address, fence = host.epoch } = message;
    closeLink(worker);
    const linkController = createChildController(signal);
    const earlierLinkLeasesExpireAtMs = clock.steadyMs() + message.floorMs;
    const link = openWorkerLink({
      ...host,
      target: { id: worker, address, fence },
      resumeFrom: {
        bornMs: message.bornMs,
        acknowledged: message.acknowledged,
      },
      earlierLeasesExpireAtMs: () =>
        Math.max(earlierLeasesExpireAtMs, earlierLinkLeasesExpireAtMs),
      mayHoldEarlierLease: (bornMs) =>
        mayHoldEarlierLease(bornMs, message.knownBornMs),
      unacknowledgedPollDelayMs: UNACKNOWLEDGED_POLL_DELAY_MS,
      mayGrantLeases: grant.isValid,
      leaseLimitMs: leaseLimit.remainingMs,
      ownerClockMs: ownerClock.lowerBoundMs,
      emit: (event) => {
        pendingStarts.recordEvent(event);
        if (isRelayEvent(event)) sender.send(event);
      },
      isCurrent: pendingStarts.isCurrent,
      onFenced: (cause) => sender.send({ kind: "fenced", cause, worker }),
      signal: linkController.signal,
    });
    links.set(worker, { link, controller: linkController });
  }

  function closeLink(worker: string): void {
    links.get(worker)?.controller.abort();
    links.delete(worker);
  }

  return {
    receive(batch, ownerMs) {
      ownerClock.addSample(ownerMs);
      receiver.accept(batch);
    },
    ended: signal,
  };
}

/** Whether an event of a link is reported to the owner. */
function isRelayEvent(
  event: DomainEvent,
): event is Extract<DomainEvent, { kind: RelayEvent["kind"] }> {
  switch (event.kind) {
    case "looked":
    case "workerSilent":
    case "workerLapsed":
    case "startAnswered":
    case "stopConfirmed":
      return true;
    default:
      return false;
  }
}
