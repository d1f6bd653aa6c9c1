import { compareStrings } from "../base/mod.ts";

/** How much work may wait. */
export type AdmissionOptions = {
  /** The most units of work, such as tasks, that wait at once. */
  capacity: number;
  /** The most units of one customer that wait at once. */
  customerCapacity: number;
};

/** Work that waits, counted by customer. */
export type Admission = {
  options: AdmissionOptions;
  total: number;
  waiting: Map<string, number>;
};

/** Work of one customer that gives way, the newest first. */
export type ShedWork = { customer: string; units: number };

/** Whether work may wait, and what has to give way for it. */
export type AdmissionDecision =
  | { kind: "admitted"; shed: ShedWork[] }
  | { kind: "refused" };

/**
 * Creates an admission that holds nothing.
 *
 * @example
 * ```ts
 * const admission = createAdmission({
 *   capacity: 20_000,
 *   customerCapacity: 20_000,
 * });
 * ```
 */
export function createAdmission(options: AdmissionOptions): Admission {
  return { options, total: 0, waiting: new Map() };
}

/**
 * Asks whether a customer's work may wait. When all room is taken, customers
 * that hold more than this one would are cut down to make room, those that
 * hold the most first. So a customer that stays within an equal part of the
 * capacity is never refused and never shed, whatever others send.
 *
 * The caller has to refuse the shed work, which surely did not run. It is no
 * longer counted; {@linkcode releaseAdmitted} is not called for it.
 *
 * @example
 * ```ts
 * const decision = admit(admission, customer, request.tasks.length);
 * ```
 */
export function admit(
  admission: Admission,
  customer: string,
  units: number,
): AdmissionDecision {
  const { capacity, customerCapacity } = admission.options;
  const customerTotal = waitingOf(admission, customer) + units;
  if (customerTotal > customerCapacity || customerTotal > capacity) {
    return { kind: "refused" };
  }
  const shortfall = admission.total + units - capacity;
  const shed = shortfall > 0
    ? chooseShed(admission, customer, customerTotal, shortfall)
    : [];
  if (shed === undefined) return { kind: "refused" };
  for (const work of shed) adjustWaiting(admission, work.customer, -work.units);
  adjustWaiting(admission, customer, units);
  return { kind: "admitted", shed };
}

/**
 * Notes that admitted work started, ended or was withdrawn.
 *
 * @example
 * ```ts
 * releaseAdmitted(admission, customer, 1);
 * ```
 */
export function releaseAdmitted(
  admission: Admission,
  customer: string,
  units: number,
): void {
  adjustWaiting(
    admission,
    customer,
    -Math.min(units, waitingOf(admission, customer)),
  );
}

/**
 * Chooses what gives way: the largest holders are cut down evenly, but never
 * below what the customer itself would hold.
 *
 * @returns undefined where that does not make enough room
 */
function chooseShed(
  admission: Admission,
  customer: string,
  customerTotal: number,
  shortfall: number,
): ShedWork[] | undefined {
  const candidates = [...admission.waiting]
    .filter(([other, units]) => other !== customer && units > customerTotal)
    .map(([other, units]) => ({ customer: other, units }))
    .sort(compareByUnitsDescending);
  const sheddable = candidates.reduce(
    (sum, holder) => sum + holder.units - customerTotal,
    0,
  );
  if (sheddable < shortfall) return undefined;
  const limit = findShedLimit(candidates, customerTotal, shortfall);
  let remaining = shortfall;
  const shed: ShedWork[] = [];
  for (const holder of candidates) {
    const units = Math.min(remaining, holder.units - limit);
    if (units <= 0) continue;
    remaining -= units;
    shed.push({ customer: holder.customer, units });
  }
  return shed;
}

/** Finds the highest level at which cutting down makes enough room. */
function findShedLimit(
  holders: ShedWork[],
  minLimit: number,
  shortfall: number,
): number {
  let low = minLimit;
  let high = holders[0]?.units ?? minLimit;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if (unitsAbove(holders, middle) >= shortfall) low = middle;
    else high = middle - 1;
  }
  return low;
}

function unitsAbove(holders: ShedWork[], limit: number): number {
  return holders.reduce(
    (sum, { units }) => sum + Math.max(0, units - limit),
    0,
  );
}

function compareByUnitsDescending(left: ShedWork, right: ShedWork): number {
  if (left.units !== right.units) return right.units - left.units;
  return compareStrings(left.customer, right.customer);
}

function waitingOf(admission: Admission, customer: string): number {
  return admission.waiting.get(customer) ?? 0;
}

function adjustWaiting(
  admission: Admission,
  customer: string,
  units: number,
): void {
  const updated = waitingOf(admission, customer) + units;
  admission.total += units;
  if (updated === 0) admission.waiting.delete(customer);
  else admission.waiting.set(customer, updated);
}
