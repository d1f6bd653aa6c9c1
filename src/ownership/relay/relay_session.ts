/**
 * Links to workers that this instance holds for the owner of a domain, under
 * the owner's epoch and for as long as the owner permits.
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
import { createOpenStarts } from "./open_starts.ts";
import { createOwnerTime } from "./owner_time.ts";
import { instantOf } from "../instant.ts";
import { createPermission } from "./permission.ts";
import type {
  RelayedAnswer,
  RelayEvent,
  RelayMessage,
} from "./relay_message.ts";

/** How often the owner is asked for its permission anew, in milliseconds. */
const RENEWAL_MS = 300;
/** A session whose owner does not answer for this long ends, in ms. */
const ABANDONED_MS = 6_000;

/** What a session needs. */
export type RelaySessionHost = {
  tasks: TaskHost;
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  /** The owner's epoch, which every order carries. */
  epoch: number;
  leaseMs: number;
  /** Sends events to the owner; undefined where it gave no answer. */
  report(batch: Batch<RelayEvent>): Promise<RelayedAnswer | undefined>;
  signal: AbortSignal;
};

/** The links of one session. */
export type RelaySession = {
  /** Takes what the owner sends, and its clock at that time. */
  take(batch: Batch<RelayMessage>, ownerMs: number): void;
  /** Aborts when the session has ended. */
  ended: AbortSignal;
};

type OpenLink = { link: WorkerLink; ending: AbortController };

/**
 * Begins a session without links.
 *
 * @example
 * ```ts
 * const session = beginRelaySession(host);
 * session.take(call.batch, call.ownerMs);
 * ```
 */
export function beginRelaySession(host: RelaySessionHost): RelaySession {
  const { clock, logger } = host;
  const ending = new AbortController();
  const { signal } = ending;
  setMaxListeners(0, signal);
  host.signal.addEventListener("abort", () => end("the process ends"), {
    signal,
  });
  const links = new Map<string, OpenLink>();
  const starts = createOpenStarts();
  const permission = createPermission(clock);
  const ownerTime = createOwnerTime(clock);
  let earlierLeasesLapsedAtMs = Infinity;
  const receiver: BatchReceiver<RelayMessage> = createBatchReceiver(takeOne);
  const sender = createBatchSender<RelayEvent>({
    clock,
    idleMs: RENEWAL_MS,
    async post(batch) {
      const sentAt = instantOf(clock);
      const answer = await host.report(batch);
      if (answer === undefined) return "failed";
      if (answer.kind === "closed") return "closed";
      permission.extend(sentAt, answer.grantMs);
      ownerTime.note(answer.ownerMs);
      return "taken";
    },
    onClosed: () => end("the owner closed it"),
    signal,
  });
  endWhenAbandoned();

  function end(reason: string): void {
    if (signal.aborted) return;
    logger.info("A relay session ended.", {
      epoch: host.epoch,
      links: links.size,
      reason,
    });
    ending.abort(reason);
  }

  async function endWhenAbandoned(): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(RENEWAL_MS, signal);
      if (sender.silentMs() > ABANDONED_MS) end("the owner does not answer");
    }
  }

  function takeOne(message: RelayMessage): void {
    switch (message.kind) {
      case "open":
        return open(message);
      case "close":
        return close(message.worker);
      case "order":
        starts.noteOrder(message.order);
        links.get(message.order.worker)?.link.order(message.order);
        return;
      case "acknowledge":
        links.get(message.worker)?.link
          .acknowledge(message.bornMs, message.lastEnd);
        return;
      case "floor":
        earlierLeasesLapsedAtMs = clock.steadyMs() + message.floorMs;
        return;
      default:
        assertNever(message);
    }
  }

  function open(message: Extract<RelayMessage, { kind: "open" }>): void {
    const { worker, address } = message;
    close(worker);
    const linkEnding = createChildController(signal);
    const floorAtMs = clock.steadyMs() + message.floorMs;
    const link = openWorkerLink({
      ...host,
      target: { id: worker, address, epoch: host.epoch },
      known: { bornMs: message.bornMs, acknowledged: message.acknowledged },
      earlierLeasesLapsedAtMs: () =>
        Math.max(earlierLeasesLapsedAtMs, floorAtMs),
      mayGrant: permission.holds,
      stampMs: ownerTime.nowMs,
      emit: (event) => {
        starts.noteEvent(event);
        if (isRelayed(event)) sender.send(event);
      },
      isCurrent: starts.isCurrent,
      onFenced: (cause) => sender.send({ kind: "fenced", cause }),
      signal: linkEnding.signal,
    });
    links.set(worker, { link, ending: linkEnding });
  }

  function close(worker: string): void {
    links.get(worker)?.ending.abort();
    links.delete(worker);
  }

  return {
    take(batch, ownerMs) {
      ownerTime.note(ownerMs);
      receiver.accept(batch);
    },
    ended: signal,
  };
}

/** Whether a link's event is one that owners are told. */
function isRelayed(
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
