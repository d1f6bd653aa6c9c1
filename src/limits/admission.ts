import { compareStrings } from "../base/mod.ts";

/** Limits on the amount of queued work. */
export type AdmissionOptions = {
  /** Maximum units of work, such as tasks, that may wait at once. */
  capacity: number;
  /** Maximum units of one customer that may wait at once. */
  customerCapacity: number;
};

/** The waiting work of all customers. */
export type Admission = {
  options: AdmissionOptions;
  /** Waiting units of all customers. */
  total: number;
  /** Waiting units by customer. */
  waiting: Map<string, number>;
};

/** Units of one customer's waiting work to shed, newest first. */
export type ShedWork = { customer: string; units: number };

/** Whether work is admitted, and what must be shed to free capacity for it. */
export type AdmissionDecision =
  | { kind: "admitted"; shed: ShedWork[] }
  | { kind: "refused" };

/**
 * Creates an admission without waiting work.
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
 * Decides whether a customer's work may wait, and counts it if so. At full
 * capacity, work is shed from customers that hold more than this one would,
 * largest holders first. A customer that stays within an equal share of the
 * capacity is therefore never refused and never shed, whatever others send.
 *
 * The caller must refuse the shed work, none of which has run. Shed work is no
 * longer counted, so {@linkcode releaseAdmitted} must not be called for it.
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
 * Records that admitted work started, ended or was withdrawn.
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
 * Chooses the work to shed: the largest holders are reduced to a common limit,
 * but never below what the customer itself would hold.
 *
 * @returns undefined if that does not free enough capacity
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

/** Finds the highest common limit that frees enough capacity. */
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
