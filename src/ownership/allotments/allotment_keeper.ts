/**
 * Keeps the allotments of a domain: writes them to the store under the condition
 * that the owner has read everything before, and sets the limits of the domain.
 *
 * @module
 */
import {
  type Domain,
  type DomainEvent,
  sumPossibleAllocations,
} from "../../domain/mod.ts";
import type { StoreFault } from "../../hosts/mod.ts";
import {
  capOf,
  type ClientAccount,
  combineResources,
  fitsInto,
  NO_RESOURCES,
  type Resources,
  UNLIMITED_RESOURCES,
} from "../../model/mod.ts";
import type { DomainOwnerHost } from "../domain_owner_host.ts";
import {
  type Allotment,
  ALLOTMENTS_PARTITION,
  createAllotmentRecord,
} from "./allotment_records.ts";
import {
  certainlyHeld,
  createAllotmentView,
  extendView,
  replaceView,
} from "./allotment_view.ts";
import { type AllotmentUse, fitAllotments } from "./fit_allotments.ts";
import {
  type AllotmentSituation,
  isSameAllotment,
  limitUnder,
  planAllotment,
} from "./plan_allotment.ts";
import { createRecentPeaks } from "./recent_peak.ts";

/** How long the store may hold a read open for new records, in ms. */
const LONG_POLL_WAIT_MS = 8_000;
/**
 * After a cap has fallen, other owners may raise their allotments under the
 * former one until their configuration is too old. Until these raises have been
 * read, work starts only on a view that was confirmed this recently, in ms.
 */
const MAX_VIEW_AGE_MS = 500;
/** How often the view is confirmed meanwhile, in milliseconds. */
const CONFIRM_INTERVAL_MS = 200;
/** Delay before a failed call is repeated, in milliseconds. */
const RETRY_DELAY_MS = 100;
/** The same for a record that the store has rejected for good. */
const REJECTED_RETRY_DELAY_MS = 2_000;
/** The shortest time between two writes, in milliseconds. */
const MIN_WRITE_GAP_MS = 20;
/**
 * How long a step whose claim was served may take to start, such as for advice
 * of the placement policy, before later claims are served, in milliseconds.
 */
const SERVED_CLAIM_KEEP_MS = 500;

/** Dependencies of an allotment keeper. */
export type AllotmentKeeperHost =
  & Pick<
    DomainOwnerHost,
    | "store"
    | "clock"
    | "logger"
    | "counters"
    | "partition"
    | "epoch"
    | "clientAccounts"
    | "configurationAgeMs"
    | "maxConfigurationAgeMs"
    | "partitionsInUse"
    | "signal"
  >
  & { emit(event: DomainEvent): void };

/** Keeps the allotments of a domain. */
export type AllotmentKeeper = {
  /** Passes the configuration on, if it has changed or become too old. */
  observeConfiguration(): void;
  /** Reviews the allotments after a scheduling pass. */
  review(): void;
};

type ServedClaim = {
  order: number;
  /** The number of passes, the time and the allocation when it was served. */
  pass: number;
  atMs: number;
  allocated: Resources;
};

/**
 * Creates the keeper of an owner, which may allocate nothing under a cap before
 * its allotments are stored under its own epoch. Work ends with the signal, or
 * once a later owner has written.
 *
 * @example
 * ```ts
 * const keeper = createAllotmentKeeper(host, domain);
 * keeper.review();
 * ```
 */
export function createAllotmentKeeper(
  host: AllotmentKeeperHost,
  domain: Domain,
): AllotmentKeeper {
  const { store, clock, logger, counters, partition, epoch, signal } = host;
  const view = createAllotmentView();
  const peaks = createRecentPeaks();
  const served = new Map<string, ServedClaim>();
  const waitingSinceMs = new Map<string, number>();
  let accounts: ClientAccount[] | undefined;
  let caps = new Map<string, Resources>();
  let isStale = false;
  /** When a cap may have fallen without notice to other owners. */
  let capsFellAtMs = clock.steadyMs();
  let emittedLimits = "";
  let passes = 0;
  let isFollowing = false;
  let isConfirming = false;
  let isWriting = false;
  let isSuperseded = false;

  function observeConfiguration(): void {
    const current = host.clientAccounts();
    if (current !== accounts) applyAccounts(current ?? []);
    accounts = current;
    const isStaleNow = current === undefined ||
      current.length > 0 &&
        host.configurationAgeMs() > host.maxConfigurationAgeMs ||
      caps.size > 0 && lacksRaises() && viewAgeMs() > MAX_VIEW_AGE_MS;
    if (isStaleNow === isStale) return;
    isStale = isStaleNow;
    host.emit({ kind: "configurationObserved", isStale });
  }

  function applyAccounts(current: ClientAccount[]): void {
    const former = caps;
    if (current.length + (accounts?.length ?? 0) === 0) return;
    caps = new Map(
      current.flatMap((account) => {
        const cap = capOf(account);
        return cap === undefined ? [] : [[account.name, cap] as const];
      }),
    );
    for (const [account, cap] of caps) {
      if (fitsInto(former.get(account) ?? UNLIMITED_RESOURCES, cap)) continue;
      capsFellAtMs = clock.steadyMs();
    }
    host.emit({ kind: "accountsConfigured", accounts: current });
    if (view.offset !== undefined) plan();
  }

  const viewAgeMs = () => clock.steadyMs() - view.confirmedAtMs;

  /** Whether the view may lack raises under a cap that has fallen since. */
  const lacksRaises = () =>
    view.confirmedAtMs < capsFellAtMs + host.maxConfigurationAgeMs;

  /** Confirms the view until it has all raises under former caps. */
  async function confirmView(): Promise<void> {
    isConfirming = true;
    while (!signal.aborted && isNeeded() && lacksRaises()) {
      await read(0);
      await clock.sleep(CONFIRM_INTERVAL_MS, signal);
    }
    isConfirming = false;
  }

  const ownRecord = () => view.records.get(partition.number);
  const isClaimed = () => ownRecord()?.epoch === epoch;

  /** Whether the domain takes part, or an earlier owner has left allotments. */
  function isNeeded(): boolean {
    if (caps.size === 0) return false;
    if (host.partitionsInUse().has(partition.number)) return true;
    if (view.offset === undefined) return true;
    return (ownRecord()?.accounts.size ?? 0) > 0 ||
      domain.allocatedByAccount.size > 0 || domain.accountWaits.size > 0;
  }

  function situationOf(
    account: string,
    cap: Resources,
    { possible, inUse }: {
      possible: Map<string, Resources>;
      inUse: Set<number>;
    },
  ): AllotmentSituation {
    const nowMs = clock.steadyMs();
    const own = ownRecord()?.accounts.get(account);
    const placed = domain.allocatedByAccount.get(account) ?? NO_RESOURCES;
    const wait = domain.accountWaits.get(account);
    const claim = served.get(account);
    peaks.record(account, placed, nowMs);
    return {
      cap,
      own,
      others: [...view.records].flatMap(([number, { accounts }]) =>
        number === partition.number ? [] : accounts.get(account) ?? []
      ),
      placed,
      possible: possible.get(account) ?? NO_RESOURCES,
      recentPeak: peaks.of(account, nowMs),
      wait,
      hasUsedClaim: claim === undefined || passes > claim.pass &&
          (wait !== undefined || placed !== claim.allocated ||
            nowMs - claim.atMs > SERVED_CLAIM_KEEP_MS),
      domains: inUse.size + (inUse.has(partition.number) ? 0 : 1),
      isInUse: inUse.has(partition.number),
    };
  }

  /** Plans all allotments, and sets the limits that hold meanwhile. */
  function plan(): Map<string, Allotment> {
    const shared = {
      possible: sumPossibleAllocations(domain),
      inUse: host.partitionsInUse(),
    };
    const planned = new Map<string, Allotment>();
    const limits = new Map<string, Resources>();
    for (const [account, allotment] of ownRecord()?.accounts ?? []) {
      // Without a cap, it is kept until the account has one again.
      if (!caps.has(account)) planned.set(account, allotment);
    }
    const situations = new Map<string, AllotmentSituation>();
    for (const [account, cap] of caps) {
      const situation = situationOf(account, cap, shared);
      situations.set(account, situation);
      const allotment = planAllotment(situation);
      if (allotment !== undefined) planned.set(account, allotment);
    }
    const fitting = fitAllotments(
      planned,
      (account) => useOf(account, situations.get(account)),
    );
    for (const [account, situation] of situations) {
      const allotment = fitting.get(account);
      const least = (left: Resources, right: Resources) =>
        combineResources(left, right, Math.min);
      const held = least(
        certainlyHeld(view, partition.number, account, least, NO_RESOURCES),
        allotment?.held ?? NO_RESOURCES,
      );
      if (isClaimed()) limits.set(account, limitUnder(situation, held));
    }
    emitLimits(limits);
    return fitting;
  }

  /** @param situation undefined if the account has no cap any more */
  function useOf(
    account: string,
    situation: AllotmentSituation | undefined,
  ): AllotmentUse {
    const possible = situation?.possible ??
      domain.allocatedByAccount.get(account) ?? NO_RESOURCES;
    if (!fitsInto(possible, NO_RESOURCES)) return "running";
    if (situation?.wait !== undefined) return "waiting";
    return situation?.own === undefined ? "absent" : "unused";
  }

  function emitLimits(limits: Map<string, Resources>): void {
    const known = [...limits];
    const text = known.map(([account, limit]) =>
      [account, ...Object.values(limit)].join(" ")
    ).join("\n");
    if (text === emittedLimits) return;
    emittedLimits = text;
    host.emit({ kind: "accountLimitsSet", limits: known });
  }

  function isStored(planned: Map<string, Allotment>): boolean {
    const stored = ownRecord();
    // An owner without anything to hold does not write.
    if ((stored?.accounts.size ?? 0) + planned.size === 0) return true;
    if (stored?.epoch !== epoch || view.undecided.length > 0) return false;
    return stored.accounts.size === planned.size &&
      [...planned].every(([account, allotment]) =>
        isSameAllotment(stored.accounts.get(account), allotment)
      );
  }

  /** Writes until the store has what is planned. */
  async function write(): Promise<void> {
    if (isWriting || view.offset === undefined) return;
    isWriting = true;
    try {
      while (mayWrite()) {
        const planned = plan();
        if (isStored(planned)) return;
        await append(planned, view.offset);
      }
    } finally {
      isWriting = false;
    }
  }

  function mayWrite(): boolean {
    if (signal.aborted || isSuperseded) return false;
    const storedEpoch = ownRecord()?.epoch ?? 0;
    if (storedEpoch <= epoch) return true;
    isSuperseded = true;
    emitLimits(new Map());
    logger.warn("A later owner keeps the allotments of a domain.", {
      partition: partition.number,
      epoch,
      storedEpoch,
    });
    return false;
  }

  async function append(
    planned: Map<string, Allotment>,
    atOffset: number,
  ): Promise<void> {
    const record = createAllotmentRecord(partition.number, {
      epoch,
      accounts: planned,
    });
    const sentAtMs = clock.steadyMs();
    const write = { atOffset, accounts: planned };
    view.undecided.push(write);
    const result = await store.append(
      ALLOTMENTS_PARTITION,
      [record],
      { atOffset },
      signal,
    );
    if (result.isOk()) {
      counters.count("allotment_writes", { outcome: "stored" });
      extendView(view, { records: [record], nextOffset: atOffset + 1 });
      confirm(sentAtMs);
      recordServedClaims(planned);
      plan();
      return await clock.sleep(MIN_WRITE_GAP_MS, signal);
    }
    // The store has not executed it.
    const { kind } = result.error;
    if (kind === "unavailable" || kind === "rejected") {
      view.undecided = view.undecided.filter((other) => other !== write);
    }
    await resolveFailure(result.error);
  }

  function recordServedClaims(planned: Map<string, Allotment>): void {
    for (const [account, { request }] of planned) {
      if (request?.isServed !== true) served.delete(account);
      else if (served.get(account)?.order !== request.order) {
        served.set(account, {
          order: request.order,
          pass: passes,
          atMs: clock.steadyMs(),
          allocated: domain.allocatedByAccount.get(account) ?? NO_RESOURCES,
        });
      }
    }
  }

  /** Reads what was written instead, or what has become of the write. */
  async function resolveFailure(fault: StoreFault): Promise<void> {
    const isMoved = fault.kind === "moved";
    counters.count("allotment_writes", {
      outcome: isMoved ? "moved" : "failed",
    });
    if (!isMoved) {
      logger.warn("Cannot write the allotments of a domain.", {
        partition: partition.number,
        epoch,
        fault: fault.kind,
        cause: fault.message,
      });
      const isRejected = fault.kind === "rejected";
      const delayMs = isRejected ? REJECTED_RETRY_DELAY_MS : RETRY_DELAY_MS;
      await clock.sleep(delayMs, signal);
    }
    const isRead = await read(0);
    if (!isRead) await clock.sleep(RETRY_DELAY_MS, signal);
  }

  /** Reads on from where the view ends; returns whether that succeeded. */
  async function read(waitMs: number): Promise<boolean> {
    const { offset } = view;
    const sentAtMs = clock.steadyMs();
    const page = offset === undefined
      ? await store.newest(ALLOTMENTS_PARTITION, signal)
      : await store.read(ALLOTMENTS_PARTITION, offset, waitMs, signal);
    if (signal.aborted) return false;
    if (page.isOk()) confirm(sentAtMs);
    if (page.isErr()) {
      if (page.error.kind !== "trimmed") return false;
      const newest = await store.newest(ALLOTMENTS_PARTITION, signal);
      if (newest.isErr()) return false;
      confirm(sentAtMs);
      reportUnreadable(replaceView(view, newest.value));
      return true;
    }
    reportUnreadable(
      offset === undefined
        ? replaceView(view, page.value)
        : extendView(view, page.value),
    );
    return true;
  }

  function confirm(sentAtMs: number): void {
    view.confirmedAtMs = Math.max(view.confirmedAtMs, sentAtMs);
  }

  function reportUnreadable(keys: string[]): void {
    for (const key of keys) {
      logger.error("Skipped an unreadable allotment record.", { key });
    }
  }

  /** Follows the allotments of all domains while they are needed. */
  async function follow(): Promise<void> {
    isFollowing = true;
    while (!signal.aborted && !isSuperseded && isNeeded()) {
      const isRead = await read(LONG_POLL_WAIT_MS);
      if (!isRead) await clock.sleep(RETRY_DELAY_MS, signal);
      write();
    }
    isFollowing = false;
  }

  function observeWaits(): void {
    const nowMs = clock.steadyMs();
    for (const [account, sinceMs] of waitingSinceMs) {
      if (domain.accountWaits.has(account)) continue;
      waitingSinceMs.delete(account);
      counters.observe("allotment_wait_ms", nowMs - sinceMs);
    }
    for (const account of domain.accountWaits.keys()) {
      if (!waitingSinceMs.has(account)) waitingSinceMs.set(account, nowMs);
    }
  }

  return {
    observeConfiguration,
    review() {
      passes += 1;
      observeConfiguration();
      observeWaits();
      if (caps.size === 0 || isSuperseded || signal.aborted) return;
      if (!isFollowing && isNeeded()) follow();
      if (!isConfirming && lacksRaises() && isNeeded()) confirmView();
      if (isWriting) plan();
      else write();
    },
  };
}
