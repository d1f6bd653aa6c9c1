/**
 * Start permits: records that name the workers on which tasks of stored jobs
 * may be started before the record of their placement is stored. A new owner
 * restarts such a task only after each worker with a permit has reported or its
 * leases have expired; see docs/design/outages.md.
 *
 * @module
 */
import * as v from "valibot";
import { mayBeAllowed } from "./advice_requests.ts";
import type { Domain } from "./domain.ts";
import type { WorkerOrder } from "./domain_command.ts";
import type { DomainWorker } from "./domain_worker.ts";
import { mayHaveUnlistedRuns } from "./job_lifecycle.ts";
import { permitKey, stepRecordKey } from "./record_keys.ts";
import { isSuspect, parseTaskName, type StepRun } from "./step_run.ts";
import type { TaskState } from "./task_state.ts";
import { currentListing, isDraining } from "./worker_incarnation.ts";

/** Schema of the record of a permit. */
export const startPermitSchema = v.object({
  /** The worker's incarnation when the permit was granted. */
  bornMs: v.number(),
});

/** A permit to start tasks on a worker, and how far it is stored. */
export type StartPermit = {
  bornMs: number;
  /** Number of changes of the permit, of which the last has to be stored. */
  revision: number;
  phase:
    /** The record is not known to be stored. */
    | "granting"
    | "granted"
    /** The record is not known to be deleted. */
    | "revoking";
};

/**
 * Whether permits have to stay as they are. While workers are unsettled, an
 * earlier owner that gets no answers from most of the workers named by them
 * grants no leases. While the store is silent, a change could not be stored, and
 * the answers of its worker would not show that this owner has no successor.
 */
function arePermitsFixed(domain: Domain): boolean {
  return domain.unsettledWorkers.size > 0 || domain.isStoreSilent;
}

/** Begins to grant a permit for a worker that has reported. */
export function grantPermit(
  domain: Domain,
  worker: DomainWorker,
): void {
  const { id, listing, bornMs } = worker;
  if (listing === undefined || isDraining(worker)) return;
  if (arePermitsFixed(domain)) return;
  const known = domain.startPermits.get(id);
  if (known?.bornMs === bornMs && known.phase !== "revoking") return;
  const revision = (known?.revision ?? 0) + 1;
  domain.startPermits.set(id, { bornMs, revision, phase: "granting" });
  domain.dirtyKeys.add(permitKey(id));
}

/**
 * Ends the use of a permit, and begins to delete its record. Where permits have
 * to stay, a later tick revokes those that are not used.
 */
export function revokePermit(domain: Domain, worker: string): void {
  const known = domain.startPermits.get(worker);
  if (known === undefined || known.phase === "revoking") return;
  if (arePermitsFixed(domain)) return;
  known.phase = "revoking";
  known.revision += 1;
  domain.dirtyKeys.add(permitKey(worker));
}

/** Revokes the permits for workers that get no starts at present. */
export function revokeUnusedPermits(domain: Domain): void {
  for (const id of domain.startPermits.keys()) {
    const worker = domain.workers.get(id);
    const isUsable = worker?.isReachable === true &&
      worker.listing !== undefined && !isDraining(worker);
    if (!isUsable) revokePermit(domain, id);
  }
}

/** Records that a revision of a permit, or its deletion, is in the store. */
export function confirmPermit(
  domain: Domain,
  worker: string,
  revision: number | undefined,
): void {
  const known = domain.startPermits.get(worker);
  if (known === undefined || known.revision !== revision) return;
  if (known.phase === "revoking") domain.startPermits.delete(worker);
  else known.phase = "granted";
}

/**
 * Whether an order may leave before the records of its cause are stored. A
 * start may if a later owner will look for it at its worker; a stop may as long
 * as the job is open, since a later owner would then only start the task again.
 *
 * @example
 * ```ts
 * if (mayPrecedeCommit(domain, order)) send(order);
 * ```
 */
export function mayPrecedeCommit(domain: Domain, order: WorkerOrder): boolean {
  if (order.kind === "pace") return false;
  const stepKey = parseTaskName(order.task)?.stepKey ?? "";
  const run = domain.steps.get(stepKey);
  if (run === undefined || run.step.atMostOnce === true) return false;
  const { job, isStored } = run.jobRun;
  if (job.outcome !== "open" || !isStored) return false;
  if (order.kind === "stop") return true;
  // A later owner has to know on which worker a suspect was started.
  const { index = 0 } = parseTaskName(order.task) ?? {};
  if (isSuspect(run, index)) return false;
  // A later owner that does not know of a failure would allow one more attempt.
  if (run.storedFailureCount < run.failureCount) return false;
  return hasStoredPermit(domain, order.worker);
}

/**
 * Whether the store holds a permit for the present incarnation of a worker. An
 * entry of another one shows that a start would reach that one.
 */
function hasStoredPermit(domain: Domain, id: string): boolean {
  const permit = domain.startPermits.get(id);
  const worker = domain.workers.get(id);
  if (permit?.phase !== "granted" || worker === undefined) return false;
  if (worker.listing !== undefined && currentListing(worker) === undefined) {
    return false;
  }
  return permit.bornMs === worker.bornMs;
}

/**
 * The workers that have not reported since the takeover, by the steps that may
 * have been started there. One that is draining now, or has less capacity, is
 * included: it could run them before.
 */
export type UnsettledIndex = {
  /** Those whose permitted incarnation is not known. */
  unknown: string[];
  byService: Map<string, string[]>;
  /** By service, then by label. */
  byLabel: Map<string, Map<string, string[]>>;
};

/** Indexes the workers that have not reported since the takeover. */
export function indexUnsettledWorkers(domain: Domain): UnsettledIndex {
  const index: UnsettledIndex = {
    unknown: [],
    byService: new Map(),
    byLabel: new Map(),
  };
  for (const id of domain.unsettledWorkers) {
    const listing = domain.workers.get(id)?.listing;
    // An entry of another incarnation than the permitted one does not tell.
    const isKnown = listing !== undefined &&
      listing.bornMs === domain.startPermits.get(id)?.bornMs;
    if (!isKnown) {
      index.unknown.push(id);
      continue;
    }
    const { service, labels } = listing;
    append(index.byService, service, id);
    const byLabel = index.byLabel.get(service) ?? new Map<string, string[]>();
    index.byLabel.set(service, byLabel);
    for (const label of new Set(labels)) append(byLabel, label, id);
  }
  return index;
}

function append(map: Map<string, string[]>, key: string, id: string): void {
  const known = map.get(key);
  if (known === undefined) map.set(key, [id]);
  else known.push(id);
}

/**
 * Whether an earlier owner may have started tasks of a step at a worker that
 * has not reported since the takeover.
 */
export function mayRunUnrecorded(
  domain: Domain,
  run: StepRun,
  index: UnsettledIndex,
): boolean {
  return findPossibleHolders(domain, run, index).next().done === false;
}

/**
 * Finds the workers that have not reported since the takeover and at which an
 * earlier owner may have started tasks of a step.
 */
export function* findPossibleHolders(
  domain: Domain,
  run: StepRun,
  { unknown, byService, byLabel }: UnsettledIndex,
): Generator<string> {
  if (!mayHaveUnlistedRuns(domain, run.jobRun)) return;
  const { service } = run.jobRun.job.policy;
  const { requiredLabel } = run.step;
  const listed = requiredLabel === undefined
    ? byService.get(service)
    : byLabel.get(service)?.get(requiredLabel);
  for (const id of unknown) {
    if (mayBeAllowed(run, id)) yield id;
  }
  for (const id of listed ?? []) {
    if (mayBeAllowed(run, id)) yield id;
  }
}

/**
 * Numbers of attempts continue after a takeover at the epoch times this, because
 * not all earlier attempts are known. An owner makes fewer attempts of a task.
 */
const ATTEMPTS_PER_EPOCH = 1_000;

/** The number of the next attempt of a task, which no owner has used. */
export function nextAttempt(
  domain: Domain,
  run: StepRun,
  task: TaskState,
): number {
  if (!run.jobRun.isRestored) return task.attempt + 1;
  return Math.max(task.attempt, highestEarlierAttempt(domain)) + 1;
}

/** The highest number that attempts of earlier owners may have. */
function highestEarlierAttempt(domain: Domain): number {
  const epoch = Math.max(0, ...domain.owners.map((owner) => owner.epoch));
  return epoch * ATTEMPTS_PER_EPOCH;
}

/**
 * Records that no start of an earlier owner is left at a worker: it has reported
 * under the present epoch, or its leases have expired. If the runs of the
 * permitted incarnation are not listed, restored tasks may have run there.
 *
 * @param bornMs the incarnation that reported; undefined if none did
 */
export function settleWorker(
  domain: Domain,
  worker: string,
  bornMs: number | undefined,
): void {
  if (!domain.unsettledWorkers.delete(worker)) return;
  if (domain.startPermits.get(worker)?.bornMs !== bornMs) {
    domain.hasUnlistedAttempts = true;
  }
  if (domain.unsettledWorkers.size > 0) return;
  const { hasUnlistedAttempts } = domain;
  domain.commands.push({
    kind: "report",
    message: "No worker may hold unrecorded tasks any more.",
    fields: { lastWorker: worker, unlistedAttempts: `${hasUnlistedAttempts}` },
  });
  if (!hasUnlistedAttempts) return;
  for (const run of domain.steps.values()) {
    if (run.jobRun.isRestored) recordPossibleAttempts(domain, run);
  }
}

function recordPossibleAttempts(domain: Domain, run: StepRun): void {
  for (const task of run.tasks) {
    if (task.kind !== "waiting" || task.attempt > 0) continue;
    task.attempt = Math.max(1, highestEarlierAttempt(domain));
    run.jobRun.hasStarted = true;
    domain.dirtyKeys.add(stepRecordKey(run.key));
  }
}
