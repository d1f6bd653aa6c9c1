/**
 * The scheduling passes of an owner, and the execution of their commands.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import {
  type Domain,
  type DomainCommand,
  explainWaits,
  mayPrecedeCommit,
  scheduleDomain,
  verifyOwnershipOnCommit,
} from "../domain/mod.ts";
import { STORE_DOWN_AFTER_MS } from "./owner_calls.ts";
import {
  acknowledgeEnds,
  expireUnlistedWorkers,
  moveLinksToRelays,
  remainingGrantMs,
  sendOrder,
} from "./owner_links.ts";
import { RELAY_GRANT_MS } from "./relay/mod.ts";
import { currentMoment, emit, type OwnerState } from "./owner_state.ts";
import { rejectUncommitted } from "./reject_uncommitted.ts";

/** The shortest time between two scheduling passes, in milliseconds. */
const MIN_PASS_GAP_MS = 4;
/** Ratio of the time until the next pass to the duration of a pass. */
const PASS_GAP_FACTOR = 4;
/** The longest time between two scheduling passes, in milliseconds. */
const MAX_PASS_GAP_MS = 100;
/** Passes that take longer are logged, in milliseconds. */
const SLOW_PASS_MS = MAX_PASS_GAP_MS;
/** Interval for removing ended jobs and explaining long waits, in ms. */
const TICK_INTERVAL_MS = 2_000;
/** How many of the longest waiting steps are explained each time. */
const MAX_EXPLAINED_STEPS = 3;
/** Shorter waits are not explained, in milliseconds. */
const MIN_EXPLAINED_WAIT_MS = 2_000;

/**
 * Logs reports, sends the orders that may leave now, and queues all other
 * commands until the next commit.
 */
export function queueCommands(
  state: OwnerState,
  commands: DomainCommand[],
): void {
  for (const command of commands) {
    switch (command.kind) {
      case "report":
        state.host.logger.info(command.message, command.fields);
        break;
      case "countExcess": {
        const { account, outcome } = command;
        const labels = { account: state.accountLabels.of(account), outcome };
        state.host.counters.count("excess_submissions", labels);
        break;
      }
      case "count":
        state.host.counters.count(command.name, command.labels);
        break;
      case "order":
        if (mayPrecedeCommit(state.domain, command.order)) {
          sendOrder(state, command.order);
        } else state.pendingCommands.push(command);
        break;
      case "answer":
      case "acknowledge":
        state.pendingCommands.push(command);
        break;
      default:
        assertNever(command);
    }
  }
  if (state.pendingCommands.length > 0 || state.domain.dirtyKeys.size > 0) {
    state.writer.requestCommit();
  }
}

/** Sends queued orders that may leave before the next commit. */
export function sendOrdersAheadOfCommit(state: OwnerState): void {
  const kept = state.pendingCommands.splice(0).filter((command) => {
    if (command.kind !== "order") return true;
    if (!mayPrecedeCommit(state.domain, command.order)) return true;
    sendOrder(state, command.order);
    return false;
  });
  state.pendingCommands.push(...kept);
}

/** Executes commands whose commit is complete. */
export function executeCommitted(
  state: OwnerState,
  commands: DomainCommand[],
): void {
  for (const command of commands) {
    switch (command.kind) {
      case "order":
        sendOrder(state, command.order);
        break;
      case "answer":
        state.pendingCalls.get(command.call)?.(command.answer);
        state.pendingCalls.delete(command.call);
        break;
      case "acknowledge":
        acknowledgeEnds(state, command);
        break;
      case "report":
      case "countExcess":
      case "count":
        break;
      default:
        assertNever(command);
    }
  }
}

/** Schedules a pass, unless one is pending that covers the latest events. */
export function schedulePass(state: OwnerState): void {
  const { host } = state;
  if (state.isPassScheduled || host.signal.aborted) return;
  state.isPassScheduled = true;
  const delayMs = Math.max(0, state.nextPassAtMs - host.clock.steadyMs());
  setTimeout(() => runPass(state), delayMs);
}

function runPass(state: OwnerState): void {
  const { host } = state;
  state.isPassScheduled = false;
  if (host.signal.aborted) return;
  const startedAtMs = host.clock.steadyMs();
  try {
    state.allotments.observeConfiguration();
    queueCommands(state, scheduleDomain(state.domain, currentMoment(state)));
  } catch (error) {
    return failOwnership(state, error);
  }
  state.allotments.review();
  state.advisor.dispatch();
  const endedAtMs = host.clock.steadyMs();
  const elapsedMs = endedAtMs - startedAtMs;
  host.counters.observe("pass_ms", elapsedMs);
  if (elapsedMs > SLOW_PASS_MS) logSlowPass(state, elapsedMs);
  const gapMs = Math.max(MIN_PASS_GAP_MS, elapsedMs * PASS_GAP_FACTOR);
  state.nextPassAtMs = endedAtMs + Math.min(gapMs, MAX_PASS_GAP_MS);
}

function logSlowPass({ host, domain }: OwnerState, elapsedMs: number): void {
  const waitingSteps = [...domain.waitingSteps];
  host.logger.info("A scheduling pass was slow.", {
    partition: host.partition.number,
    elapsedMs: Math.round(elapsedMs),
    waitingSteps: waitingSteps.length,
    waitingGangs: waitingSteps.filter(({ step }) => step.gang).length,
    adviceQueue: domain.adviceQueue.length,
    unsettledWorkers: domain.unsettledWorkers.size,
  });
}

/** Runs passes, link moves and other periodic work until ownership ends. */
export async function runPeriodicWork(state: OwnerState): Promise<void> {
  const { clock, signal } = state.host;
  let nextTickAtMs = clock.steadyMs();
  while (!signal.aborted) {
    const expectedAtMs = clock.steadyMs() + MAX_PASS_GAP_MS;
    await clock.sleep(MAX_PASS_GAP_MS, signal);
    const lagMs = Math.max(0, clock.steadyMs() - expectedAtMs);
    state.host.counters.observe("owner_lag_ms", lagMs);
    schedulePass(state);
    expireUnlistedWorkers(state);
    moveLinksToRelays(state);
    rejectUncommitted(state);
    observeStore(state);
    confirmOwnership(state);
    if (clock.steadyMs() < nextTickAtMs) continue;
    nextTickAtMs = clock.steadyMs() + TICK_INTERVAL_MS;
    retryRejectedRecords(state);
    forgetListedEnds(state);
    emit(state, { kind: "ticked" });
    explainLongWaits(state);
  }
}

/** Stores rejected records again; their content may fit by now. */
function retryRejectedRecords(
  { unstoredJobs, writer }: OwnerState,
): void {
  unstoredJobs.scheduleRetries();
  writer.requestCommit();
}

/** Forgets what workers listed that have left. */
function forgetListedEnds({ domain, listedEnds }: OwnerState): void {
  for (const worker of listedEnds.keys()) {
    if (!domain.workers.has(worker)) listedEnds.delete(worker);
  }
}

function observeStore(state: OwnerState): void {
  const isSilent = state.writer.appendAgeMs() > STORE_DOWN_AFTER_MS;
  if (isSilent === state.domain.isStoreSilent) return;
  emit(state, { kind: "storeObserved", isSilent });
}

/**
 * Stores a record if nothing else is to be stored and the answers of workers
 * will soon not suffice to grant leases, so that running tasks keep theirs.
 */
export function confirmOwnership(state: OwnerState): void {
  const { domain, writer } = state;
  if (!writer.isIdle() || remainingGrantMs(state) > RELAY_GRANT_MS) return;
  if (!hasPlacedTasks(domain)) return;
  verifyOwnershipOnCommit(domain);
  writer.requestCommit();
}

function hasPlacedTasks(domain: Domain): boolean {
  for (const worker of domain.workers.values()) {
    if (worker.placed.size > 0) return true;
  }
  return false;
}

function explainLongWaits(state: OwnerState): void {
  const reports = explainWaits(
    state.domain,
    currentMoment(state),
    MAX_EXPLAINED_STEPS,
  );
  for (const report of reports) {
    if (report.waitedMs < MIN_EXPLAINED_WAIT_MS) continue;
    state.host.logger.info("A step has been waiting for a long time.", report);
  }
}

/**
 * Ends the ownership after an error in the reducer. The state in memory may be
 * inconsistent, so it has to be restored from the store.
 */
export function failOwnership(state: OwnerState, error: unknown): void {
  const { host } = state;
  const cause = error instanceof Error ? error.stack ?? error.message : error;
  host.logger.error("The reducer of a domain failed.", {
    partition: host.partition.number,
    cause: String(cause),
  });
  host.onFailed("the reducer failed");
}
