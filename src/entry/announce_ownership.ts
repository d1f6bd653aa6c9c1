import type { Clock } from "../hosts/mod.ts";

/** How often an announcement is sent to one instance at most. */
const MAX_TRIES = 3;
/** Pause before an announcement without an answer is repeated, in ms. */
const RETRY_DELAY_MS = 250;

/** Dependencies of an announcement. */
export type AnnouncementHost = {
  clock: Clock;
  /** Sends it to an instance; returns whether that has acknowledged it. */
  announce(instance: string): Promise<boolean>;
  signal: AbortSignal;
};

/**
 * Announces a domain's new owner to instances until each has acknowledged it, a
 * few times at most. An instance that misses it waits for the owner before, and
 * one that is stopping may not find the new owner in the store any more.
 *
 * @example
 * ```ts
 * await announceOwnership(host, ["10.1.0.31:7380", "10.2.0.34:7380"]);
 * ```
 */
export async function announceOwnership(
  host: AnnouncementHost,
  instances: string[],
): Promise<void> {
  await Promise.all(instances.map((instance) => announceTo(host, instance)));
}

async function announceTo(
  { clock, announce, signal }: AnnouncementHost,
  instance: string,
): Promise<void> {
  for (let tries = 0; tries < MAX_TRIES && !signal.aborted; tries += 1) {
    if (tries > 0) await clock.sleep(RETRY_DELAY_MS, signal);
    if (signal.aborted || await announce(instance)) return;
  }
}
