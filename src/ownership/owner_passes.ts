/**
 * The scheduling passes of an owner, and what becomes of their commands.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import {
  type DomainCommand,
  explainWaits,
  scheduleDomain,
} from "../domain/mod.ts";
import { refuseUncommitted } from "./owner_calls.ts";
import {
  acknowledge,
  lapseUnlisted,
  sendOrder,
  spreadLinks,
} from "./owner_links.ts";
import { emit, momentOf, type OwnerState } from "./owner_state.ts";

/** Least time between two scheduling passes, in milliseconds. */
const LEAST_PASS_GAP_MS = 4;
/** How much longer than a pass the time to the next one is. */
const PASS_GAP_FACTOR = 4;
/** The longest time between two scheduling passes, in milliseconds. */
const LONGEST_PASS_GAP_MS = 100;
/** How often ended jobs are looked for and long waits explained, in ms. */
const TICK_MS = 2_000;
/** How many of the steps that wait longest are explained each time. */
const EXPLAINED_STEPS = 3;
/** Steps that wait for less are not explained, in milliseconds. */
const LONG_WAIT_MS = 2_000;

/** Logs reports, and keeps all else until the next commit. */
export function route(state: OwnerState, commands: DomainCommand[]): void {
  for (const command of commands) {
    switch (command.kind) {
      case "report":
        state.host.logger.info(command.message, command.fields);
        break;
      case "order":
      case "answer":
      case "acknowledge":
        state.waiting.push(command);
        break;
      default:
        assertNever(command);
    }
  }
  if (state.waiting.length > 0 || state.domain.dirtyKeys.size > 0) {
    state.writer.kick();
  }
}

/** Lets out what waited for a commit. */
export function release(state: OwnerState, commands: DomainCommand[]): void {
  for (const command of commands) {
    switch (command.kind) {
      case "order":
        sendOrder(state, command.order);
        break;
      case "answer":
        state.calls.get(command.call)?.(command.answer);
        state.calls.delete(command.call);
        break;
      case "acknowledge":
        acknowledge(state, command);
        break;
      case "report":
        break;
      default:
        assertNever(command);
    }
  }
}

/** Plans one scheduling pass for all events that arrive until then. */
export function planPass(state: OwnerState): void {
  const { host } = state;
  if (state.isPassPlanned || host.signal.aborted) return;
  state.isPassPlanned = true;
  const delayMs = Math.max(0, state.nextPassAtMs - host.clock.steadyMs());
  setTimeout(() => runPass(state), delayMs);
}

function runPass(state: OwnerState): void {
  const { host } = state;
  state.isPassPlanned = false;
  if (host.signal.aborted) return;
  const beganAtMs = host.clock.steadyMs();
  try {
    route(state, scheduleDomain(state.domain, momentOf(state)));
  } catch (error) {
    return fail(state, error);
  }
  state.advisor.dispatch();
  const endedAtMs = host.clock.steadyMs();
  const elapsedMs = endedAtMs - beganAtMs;
  host.counters.observe("pass_ms", elapsedMs);
  const gapMs = Math.max(LEAST_PASS_GAP_MS, elapsedMs * PASS_GAP_FACTOR);
  state.nextPassAtMs = endedAtMs + Math.min(gapMs, LONGEST_PASS_GAP_MS);
}

/** Does what is due from time to time, until the ownership ends. */
export async function keepTicking(state: OwnerState): Promise<void> {
  const { clock, signal } = state.host;
  let tickAtMs = clock.steadyMs();
  while (!signal.aborted) {
    const dueMs = clock.steadyMs() + LONGEST_PASS_GAP_MS;
    await clock.sleep(LONGEST_PASS_GAP_MS, signal);
    const lagMs = Math.max(0, clock.steadyMs() - dueMs);
    state.host.counters.observe("owner_lag_ms", lagMs);
    planPass(state);
    lapseUnlisted(state);
    spreadLinks(state);
    refuseUncommitted(state);
    if (clock.steadyMs() < tickAtMs) continue;
    tickAtMs = clock.steadyMs() + TICK_MS;
    emit(state, { kind: "ticked" });
    explainLongWaits(state);
  }
}

function explainLongWaits(state: OwnerState): void {
  const reports = explainWaits(
    state.domain,
    momentOf(state),
    EXPLAINED_STEPS,
  );
  for (const report of reports) {
    if (report.waitedMs < LONG_WAIT_MS) continue;
    state.host.logger.info("A step waits.", report);
  }
}

/** A reducer that failed has lost its state; it is read from the store anew. */
export function fail(state: OwnerState, error: unknown): void {
  const { host } = state;
  const cause = error instanceof Error ? error.stack ?? error.message : error;
  host.logger.error("The reducer of a domain failed.", {
    partition: host.partition.number,
    cause: String(cause),
  });
  host.onFailed("the reducer failed");
}
