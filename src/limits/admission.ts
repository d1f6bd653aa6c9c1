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
  const wanted = waitingOf(admission, customer) + units;
  if (wanted > customerCapacity || wanted > capacity) {
    return { kind: "refused" };
  }
  const missing = admission.total + units - capacity;
  const shed = missing > 0
    ? chooseShed(admission, customer, wanted, missing)
    : [];
  if (shed === undefined) return { kind: "refused" };
  for (const work of shed) count(admission, work.customer, -work.units);
  count(admission, customer, units);
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
  count(admission, customer, -Math.min(units, waitingOf(admission, customer)));
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
  wanted: number,
  missing: number,
): ShedWork[] | undefined {
  const larger = [...admission.waiting]
    .filter(([other, units]) => other !== customer && units > wanted)
    .map(([other, units]) => ({ customer: other, units }))
    .sort(compareHolders);
  const room = larger.reduce((sum, holder) => sum + holder.units - wanted, 0);
  if (room < missing) return undefined;
  const level = findLevel(larger, wanted, missing);
  let left = missing;
  const shed: ShedWork[] = [];
  for (const holder of larger) {
    const units = Math.min(left, holder.units - level);
    if (units <= 0) continue;
    left -= units;
    shed.push({ customer: holder.customer, units });
  }
  return shed;
}

/** Finds the highest level at which cutting down makes enough room. */
function findLevel(
  holders: ShedWork[],
  lowest: number,
  missing: number,
): number {
  let low = lowest;
  let high = holders[0]?.units ?? lowest;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if (roomAbove(holders, middle) >= missing) low = middle;
    else high = middle - 1;
  }
  return low;
}

function roomAbove(holders: ShedWork[], level: number): number {
  return holders.reduce(
    (sum, { units }) => sum + Math.max(0, units - level),
    0,
  );
}

function compareHolders(left: ShedWork, right: ShedWork): number {
  if (left.units !== right.units) return right.units - left.units;
  return compareStrings(left.customer, right.customer);
}

function waitingOf(admission: Admission, customer: string): number {
  return admission.waiting.get(customer) ?? 0;
}

function count(admission: Admission, customer: string, units: number): void {
  const now = waitingOf(admission, customer) + units;
  admission.total += units;
  if (now === 0) admission.waiting.delete(customer);
  else admission.waiting.set(customer, now);
}
