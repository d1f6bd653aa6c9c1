/**
 * The fences of calls to workers. A worker refuses calls with a lower fence than
 * the highest that its incarnation has accepted. The fence rises with the epoch,
 * with each link that an owner opens to a worker, and with each incarnation of
 * the worker that the link learns of, so that calls meant for a former
 * incarnation are refused once the link has talked to the next one.
 *
 * @module
 */

/** A bound on the fences of one epoch; it leaves room for 2^21 epochs. */
const FENCES_PER_EPOCH = 2 ** 32;

/**
 * The fence of the first calls over a link. Links opened later have a higher one,
 * unless the ownership lasts for more than 49 days.
 *
 * @param ownedForMs time since the ownership began, in milliseconds
 * @example
 * ```ts
 * firstFence(3, 1_500); // 12_884_903_388
 * ```
 */
export function firstFence(epoch: number, ownedForMs: number): number {
  const number = Math.min(Math.floor(ownedForMs), FENCES_PER_EPOCH - 1);
  return epoch * FENCES_PER_EPOCH + number;
}

/**
 * The fence of calls to the next incarnation of a worker. The plain epoch, which
 * owners of earlier versions use, does not rise: it would reach that of their
 * successor.
 *
 * @example
 * ```ts
 * nextFence(12_884_903_388); // 12_884_903_389
 * ```
 */
export function nextFence(fence: number): number {
  const isPlainEpoch = fence < FENCES_PER_EPOCH;
  const isLast = fence % FENCES_PER_EPOCH === FENCES_PER_EPOCH - 1;
  return isPlainEpoch || isLast ? fence : fence + 1;
}
