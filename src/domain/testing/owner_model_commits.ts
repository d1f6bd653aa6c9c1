/**
 * The store of the simulation: a few commits are in flight at a time, and some
 * take long. Orders leave as they do in an owner.
 *
 * @module
 */
import type { DomainCommand } from "../domain_command.ts";
import { drainDirtyRecords, recordCommitted } from "../records.ts";
import { mayPrecedeCommit } from "../start_permit.ts";
import { acknowledgeEnds, sendOrder } from "./owner_model_orders.ts";
import type { Model } from "./owner_model_state.ts";

const MAX_COMMITS_IN_FLIGHT = 3;
/** The longest time that a commit takes while the store is healthy, in ms. */
const MAX_COMMIT_MS = 60;
/** The longest time that a commit takes otherwise, in milliseconds. */
const MAX_OUTAGE_MS = 4_000;
/** One in this many commits takes long. */
const OUTAGE_ODDS = 12;

/** Executes the commands that may leave, and begins to commit the others. */
export function executeCommands(model: Model, commands: DomainCommand[]): void {
  for (const command of commands) {
    if (
      command.kind === "report" || command.kind === "count" ||
      command.kind === "countExcess"
    ) continue;
    if (!sendAheadOfCommit(model, command)) model.pendingCommands.push(command);
  }
  beginCommit(model);
}

/** Completes the commits in flight that the store has answered, in order. */
export function completeDueCommits(model: Model): void {
  const { bench } = model;
  while ((model.commits[0]?.dueAtMs ?? Infinity) <= bench.nowMs) {
    const { records, commands } = model.commits.shift()!;
    storeRecords(model, records);
    recordCommitted(bench.domain, records);
    for (const command of commands) executeCommitted(model, command);
    model.pendingCommands = model.pendingCommands.filter((command) =>
      !sendAheadOfCommit(model, command)
    );
  }
  beginCommit(model);
}

/** Drops the state of an owner that is lost; its last appends may succeed. */
export function loseCommits(model: Model): void {
  const stored = model.random.integer(0, model.commits.length);
  for (const { records } of model.commits.slice(0, stored)) {
    storeRecords(model, records);
  }
  model.commits = [];
  model.pendingCommands = [];
}

function beginCommit(model: Model): void {
  const { bench, random } = model;
  if (model.commits.length === MAX_COMMITS_IN_FLIGHT) return;
  if (bench.domain.dirtyKeys.size === 0 && model.pendingCommands.length === 0) {
    return;
  }
  const isSlow = random.integer(1, OUTAGE_ODDS) === 1;
  const earlierDueAtMs = model.commits.at(-1)?.dueAtMs ?? 0;
  const dueAtMs = bench.nowMs +
    random.integer(1, isSlow ? MAX_OUTAGE_MS : MAX_COMMIT_MS);
  model.commits.push({
    records: drainDirtyRecords(bench.domain),
    commands: model.pendingCommands,
    dueAtMs: Math.max(earlierDueAtMs, dueAtMs),
  });
  model.pendingCommands = [];
}

function sendAheadOfCommit(model: Model, command: DomainCommand): boolean {
  if (command.kind !== "order") return false;
  if (!mayPrecedeCommit(model.bench.domain, command.order)) return false;
  sendOrder(model, command.order);
  return true;
}

function executeCommitted(model: Model, command: DomainCommand): void {
  switch (command.kind) {
    case "order":
      return sendOrder(model, command.order);
    case "acknowledge":
      return acknowledgeEnds(model, command);
    case "answer": {
      const job = model.calls.get(command.call);
      if (job !== undefined) model.acceptedJobs.add(job);
    }
  }
}

function storeRecords(
  { bench }: Model,
  records: { key: string; value: string | undefined }[],
): void {
  for (const { key, value } of records) {
    if (value === undefined) bench.store.delete(key);
    else bench.store.set(key, value);
  }
}
