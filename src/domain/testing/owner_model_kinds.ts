/**
 * Kinds of the workers in the simulation. A worker that starts again may be of
 * another kind than before.
 *
 * @module
 */
import type { WorkerOrder } from "../domain_command.ts";
import type { Model, SimulatedWorker } from "./owner_model_state.ts";

/** The kind that some steps require. */
export const REQUIRED_KIND = "required";
const OTHER_KIND = "other";
/** One in this many jobs requires a kind for its first step. */
const REQUIRED_ODDS = 3;

/** Draws the kind of a new incarnation; after the faults, it may run any task. */
export function drawKind(
  { random, isRecovering, hasChangingKinds }: Model,
): string {
  const isRequired = !hasChangingKinds || isRecovering ||
    random.integer(0, 1) === 0;
  return isRequired ? REQUIRED_KIND : OTHER_KIND;
}

/** Draws the label that a first step requires. */
export function drawRequiredLabel(
  { random, hasChangingKinds }: Model,
): string | undefined {
  if (!hasChangingKinds) return undefined;
  return random.integer(1, REQUIRED_ODDS) > 1 ? undefined : REQUIRED_KIND;
}

/** Checks that a task has started on a worker with the label that it requires. */
export function* checkKind(
  { firstSteps }: Model,
  { worker, kind }: SimulatedWorker,
  { task }: WorkerOrder,
): Generator<string> {
  const [job = "", , step] = task.split(".");
  const label = step === "0" ? firstSteps.get(job)?.requiredLabel : undefined;
  if (label === undefined || label === kind) return;
  yield `${task} requires ${label} and started on ${worker.id}, of ${kind}`;
}
