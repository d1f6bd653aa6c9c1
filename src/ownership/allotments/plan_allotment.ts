/**
 * Decides how much of the cap of one client account a domain holds.
 *
 * @module
 */
import type { AccountWait } from "../../domain/mod.ts";
import {
  addResources,
  combineResources,
  fitsInto,
  multiplyResources,
  NO_RESOURCES,
  RESOURCE_NAMES,
  type Resources,
  subtractResources,
} from "../../model/mod.ts";
import type { Allotment, AllotmentRequest } from "./allotment_records.ts";

/** What is known when an allotment is planned. */
export type AllotmentSituation = {
  /** The cap of the account; resources without a cap are infinite. */
  cap: Resources;
  /** The allotment of this domain, if it has one. */
  own: Allotment | undefined;
  /** The allotments of the other domains that have one. */
  others: Allotment[];
  /** What is allocated to its placed tasks. */
  placed: Resources;
  /** The same with what may run without a record; see `account_limits.ts`. */
  possible: Resources;
  /** The most that has been allocated lately. */
  recentPeak: Resources;
  /** What waits for the allotment, if anything does. */
  wait: AccountWait | undefined;
  /** Whether steps could start since the last claim was served. */
  hasUsedClaim: boolean;
  /** The number of domains that share the cap equally if all want it. */
  domains: number;
  /** Whether services of the domain are configured. */
  isInUse: boolean;
};

/** Share of a domain's equal part that it keeps for its recent peak. */
const KEPT_SHARE = 0.5;
/** A request that asks for up to this many times the need is left as it is. */
const REQUEST_TOLERANCE = 4;
/**
 * How many times the need is requested of what other domains do not use, so that
 * a growing backlog does not change the request each time.
 */
const SPARE_FACTOR = 2;

/**
 * Plans the allotment of an account in a domain:
 *
 * - At first, it is an equal part of the cap.
 * - After the cap has fallen, it is reduced to what runs or an equal part.
 * - While work waits for it, it is raised from what no domain holds. If that is
 *   too little, the domain requests more.
 * - Of what runs nothing, it yields what the requests of other domains need.
 *
 * A request claims what the next step needs at once, or enough for an equal
 * part. Claims are served one at a time, in the order of the requests, so that
 * no two domains wait for each other. A step that is wider than an equal part
 * claims only while it holds others back. The rest of a request is served only from
 * what other domains do not use.
 *
 * @returns undefined if the domain needs no entry
 *
 * @example
 * ```ts
 * const planned = planAllotment(situation);
 * ```
 */
export function planAllotment(
  situation: AllotmentSituation,
): Allotment | undefined {
  const { own, cap, isInUse, wait } = situation;
  if (isCalm(situation)) return own;
  const isIdle = !isInUse && wait === undefined;
  // What runs counts in any case, also if it was started without a cap.
  const placed = onlyCapped(situation.placed, cap);
  let held = max(own?.held ?? firstHeld(situation), placed);
  held = reduceToCap(situation, held);
  const before = isServedUnused(situation) ? own?.request : undefined;
  let request = before;
  if (wait !== undefined && before === undefined) {
    ({ held, request } = raise(situation, wait, held));
  }
  held = isIdle
    ? min(held, usedOf(situation))
    : subtractResources(held, yielded(situation, held, request));
  if (isIdle && isZero(held)) return undefined;
  return request === undefined ? { held } : { held, request };
}

/** Whether an allotment stays as it is: nothing asks for any, and all fit. */
function isCalm(situation: AllotmentSituation): boolean {
  const { own, others, cap, placed, wait, isInUse } = situation;
  if (own === undefined || own.request !== undefined) return false;
  if (wait !== undefined || !isInUse) return false;
  if (others.some(({ request }) => request !== undefined)) return false;
  return fitsInto(addResources(own.held, sumHeld(others)), cap) &&
    fitsInto(onlyCapped(placed, cap), own.held);
}

/**
 * Returns what a domain may allocate under its allotment: what it holds, within
 * what the allotments of other domains and the claims before its own leave.
 *
 * @param held what the domain certainly holds, after any change under way
 *
 * @example
 * ```ts
 * const limit = limitUnder(situation, allotment.held);
 * ```
 */
export function limitUnder(
  { cap, own, others }: Pick<AllotmentSituation, "cap" | "own" | "others">,
  held: Resources,
): Resources {
  const claims = claimsBefore(requestsOf(others), own?.request);
  const left = subtractResources(cap, addResources(sumHeld(others), claims));
  const limit = max(min(held, left), NO_RESOURCES);
  return perResource((name) => cap[name] === Infinity ? Infinity : limit[name]);
}

/** Whether two allotments say the same. */
export function isSameAllotment(
  left: Allotment | undefined,
  right: Allotment | undefined,
): boolean {
  return left === right || JSON.stringify(left) === JSON.stringify(right);
}

/** The allotment of a domain without an entry. */
function firstHeld(situation: AllotmentSituation): Resources {
  const { isInUse } = situation;
  if (!isInUse) return NO_RESOURCES;
  return min(freeBeside(situation, NO_RESOURCES), equalPart(situation));
}

/** Reduces an allotment while all of them together exceed the cap. */
function reduceToCap(
  situation: AllotmentSituation,
  held: Resources,
): Resources {
  const { cap, others } = situation;
  const total = addResources(held, sumHeld(others));
  const reduced = max(
    min(held, usedOf(situation)),
    min(held, equalPart(situation)),
  );
  return perResource((name) =>
    total[name] > cap[name] ? reduced[name] : held[name]
  );
}

/** Whether a claim was served and no step could use that yet. */
function isServedUnused({ own, hasUsedClaim }: AllotmentSituation): boolean {
  return own?.request?.isServed === true && !hasUsedClaim;
}

/** The request of a domain that is still to be served. */
function openRequest({ own }: AllotmentSituation) {
  return own?.request?.isServed === true ? undefined : own?.request;
}

/** Raises an allotment for waiting work, or requests what is missing. */
function raise(
  situation: AllotmentSituation,
  wait: AccountWait,
  held: Resources,
): { held: Resources; request: AllotmentRequest | undefined } {
  const { cap } = situation;
  const atOnce = onlyCapped(wait.atOnce, cap);
  // More than the cap can never start at once.
  if (!fitsInto(atOnce, cap)) return { held, request: undefined };
  const requests = requestsOf(situation.others);
  const open = openRequest(situation);
  const used = usedOf(situation);
  const equal = equalPart(situation);
  const next = addResources(used, atOnce);
  // Room that only unrecorded starts may need is not claimed.
  const isUncertain = !fitsInto(used, onlyCapped(situation.placed, cap));
  if (isUncertain && !fitsInto(next, onlyCapped(cap, cap))) {
    return { held, request: undefined };
  }
  const all = min(addResources(used, onlyCapped(wait.total, cap)), cap);
  // A wider step than an equal part stops the other domains, so it takes turns.
  const mayClaim = fitsInto(next, equal) ||
    wait.holdsOthers && !fitsInto(atOnce, equal);
  const goal = mayClaim ? max(min(next, cap), min(all, equal)) : next;
  const free = freeBeside(situation, held);
  const unclaimed = lacking(free, claimsBefore(requests, undefined));
  const claimable = mayClaim
    ? lacking(free, claimsBefore(requests, open))
    : unclaimed;
  let raised = held;
  if (fitsInto(next, addResources(held, claimable))) {
    const forClaim = min(goal, addResources(held, claimable));
    const forSpare = min(all, addResources(held, unclaimed));
    raised = max(held, max(forClaim, forSpare));
  }
  const isServed = fitsInto(next, raised);
  const missing = lacking(min(goal, cap), raised);
  const spare = lacking(all, max(min(goal, cap), raised));
  if (isServed && !fitsInto(raised, addResources(held, unclaimed))) {
    // Later claims have to wait until the step has started.
    const { order } = open ?? newRequest(requests);
    const request = {
      order,
      claimed: NO_RESOURCES,
      spare: NO_RESOURCES,
      isServed,
    };
    return { held: raised, request };
  }
  if (isZero(missing) && isZero(spare)) {
    return { held: raised, request: undefined };
  }
  const needed = {
    claimed: mayClaim ? missing : NO_RESOURCES,
    spare: mayClaim ? spare : addResources(spare, missing),
  };
  const most = lacking(
    onlyCapped(cap, cap),
    addResources(raised, needed.claimed),
  );
  const request = keepOrReplace(open, needed, { most, others: requests });
  return { held: raised, request };
}

/** Keeps a request that asks for enough and not for far more. */
function keepOrReplace(
  open: AllotmentRequest | undefined,
  needed: Pick<AllotmentRequest, "claimed" | "spare">,
  { most, others }: { most: Resources; others: AllotmentRequest[] },
): AllotmentRequest {
  const isEnough = open !== undefined &&
    isSimilar(open.claimed, needed.claimed) &&
    isSimilar(open.spare, needed.spare);
  if (isEnough) return open;
  const { order } = open ?? newRequest(others);
  const { claimed } = needed;
  const spare = min(multiplyResources(needed.spare, SPARE_FACTOR), most);
  return { order, claimed, spare: max(spare, needed.spare) };
}

/** The order of a request that is served after all others. */
function newRequest(others: AllotmentRequest[]): { order: number } {
  return { order: Math.max(0, ...others.map(({ order }) => order)) + 1 };
}

function isSimilar(asked: Resources, needed: Resources): boolean {
  return RESOURCE_NAMES.every((name) =>
    asked[name] >= needed[name] &&
    asked[name] <= needed[name] * REQUEST_TOLERANCE
  );
}

/** The part of an allotment that is left to the requests of other domains. */
function yielded(
  situation: AllotmentSituation,
  held: Resources,
  own: AllotmentRequest | undefined,
): Resources {
  const { others, wait, recentPeak, cap } = situation;
  const requests = requestsOf(others);
  if (requests.length === 0) return NO_RESOURCES;
  const free = freeBeside(situation, held);
  const unused = max(
    subtractResources(held, usedOf(situation)),
    NO_RESOURCES,
  );
  const forClaims = lacking(claimsBefore(requests, own), free);
  const claimed = min(unused, forClaims);
  if (wait !== undefined) return claimed;
  const all = sum(
    requests.map((request) => addResources(request.claimed, request.spare)),
  );
  const kept = min(
    onlyCapped(recentPeak, cap),
    perResource((name) => Math.floor(equalPart(situation)[name] * KEPT_SHARE)),
  );
  const leavable = max(
    min(unused, subtractResources(held, kept)),
    NO_RESOURCES,
  );
  return max(claimed, min(leavable, lacking(all, free)));
}

/** What the claims before a request need; all others' without an own one. */
function claimsBefore(
  requests: AllotmentRequest[],
  own: AllotmentRequest | undefined,
): Resources {
  const isInLine = own !== undefined &&
    (own.isServed === true || !isZero(own.claimed));
  const order = isInLine ? own.order : Infinity;
  return sum(
    requests.filter((request) => request.order < order)
      .map(({ claimed }) => claimed),
  );
}

function requestsOf(allotments: Allotment[]): AllotmentRequest[] {
  return allotments.flatMap(({ request }) => request ?? []);
}

function sumHeld(allotments: Allotment[]): Resources {
  return sum(allotments.map(({ held }) => held));
}

/** What no domain holds, if this one holds a given amount. */
function freeBeside(
  { cap, others }: AllotmentSituation,
  held: Resources,
): Resources {
  const total = addResources(held, sumHeld(others));
  return onlyCapped(max(subtractResources(cap, total), NO_RESOURCES), cap);
}

function equalPart({ cap, domains }: AllotmentSituation): Resources {
  return onlyCapped(
    perResource((name) => Math.floor(cap[name] / Math.max(1, domains))),
    cap,
  );
}

function usedOf({ possible, cap }: AllotmentSituation): Resources {
  return onlyCapped(possible, cap);
}

/** An amount with 0 for each resource that has no cap. */
function onlyCapped(amount: Resources, cap: Resources): Resources {
  return perResource((name) => cap[name] === Infinity ? 0 : amount[name]);
}

function lacking(needed: Resources, present: Resources): Resources {
  return max(subtractResources(needed, present), NO_RESOURCES);
}

function sum(amounts: Resources[]): Resources {
  return amounts.reduce(addResources, NO_RESOURCES);
}

function min(left: Resources, right: Resources): Resources {
  return combineResources(left, right, Math.min);
}

function max(left: Resources, right: Resources): Resources {
  return combineResources(left, right, Math.max);
}

function perResource(
  amountOf: (name: typeof RESOURCE_NAMES[number]) => number,
): Resources {
  return {
    cpuMillis: amountOf("cpuMillis"),
    memoryMb: amountOf("memoryMb"),
    accelerators: amountOf("accelerators"),
  };
}

function isZero(amount: Resources): boolean {
  return fitsInto(amount, NO_RESOURCES);
}
