import { digest } from "../base/mod.ts";
import type { Heartbeat } from "./heartbeat.ts";
import type { HeartbeatFrame, HeartbeatSections } from "./heartbeat_frame.ts";
import type { Load } from "./load.ts";

const DIGEST_LENGTH = 12;
const SECTION_NAMES = [
  "from",
  "held",
  "unreachable",
  "workers",
  "heard",
  "bars",
  "shapes",
] as const satisfies SectionName[];

/** A heartbeat with its sections as text and the digest of them all. */
type DigestedHeartbeat = {
  heartbeat: Heartbeat;
  texts: Map<SectionName, string>;
  digest: string;
};

type SectionName = keyof HeartbeatSections;

/** What two peers know of each other's latest heartbeats; one per peer. */
export type HeartbeatLink = {
  /** The heartbeat sent last. */
  sent?: DigestedHeartbeat;
  /** The latest heartbeat that the peer is known to have. */
  acknowledged?: DigestedHeartbeat;
  /** The heartbeat received last. */
  received?: DigestedHeartbeat;
};

/**
 * Creates the link to a peer with which nothing was exchanged.
 *
 * @example
 * ```ts
 * const link = createHeartbeatLink();
 * ```
 */
export function createHeartbeatLink(): HeartbeatLink {
  return {};
}

/**
 * Writes a heartbeat as a frame, leaving out the sections that the peer is
 * known to have.
 *
 * @example
 * ```ts
 * const frame = writeHeartbeat(link, buildHeartbeat(membership, extras));
 * ```
 */
export function writeHeartbeat(
  link: HeartbeatLink,
  heartbeat: Heartbeat,
): HeartbeatFrame {
  const { acknowledged, received } = link;
  const sent = digestHeartbeat(heartbeat);
  link.sent = sent;
  return {
    sentAtMs: heartbeat.sentAtMs,
    leaving: heartbeat.leaving,
    version: heartbeat.version,
    listedAsOfMs: heartbeat.listedAsOfMs,
    load: dynamicLoad(heartbeat.load),
    digest: sent.digest,
    ...(acknowledged && { base: acknowledged.digest }),
    ...(received && { have: received.digest }),
    sections: changedSections(sent, acknowledged),
  };
}

/**
 * Reads a frame. What the peer says to have is noted first, so that the next
 * frame is whole when the peer lacks what the last one left out.
 *
 * @example
 * ```ts
 * const heartbeat = readHeartbeat(link, frame);
 * if (heartbeat) receiveHeartbeat(membership, heartbeat, nowMs);
 * ```
 *
 * @returns undefined where the frame builds on a heartbeat that is not here
 */
export function readHeartbeat(
  link: HeartbeatLink,
  frame: HeartbeatFrame,
): Heartbeat | undefined {
  noteAcknowledged(link, frame.have);
  const base = frame.base === undefined ? undefined : link.received?.heartbeat;
  const sections = { ...(base && sectionsOf(base)), ...frame.sections };
  const { from, held, unreachable, workers, heard, bars, shapes } = sections;
  if (!from || !held || !unreachable || !workers || !heard || !bars) {
    return undefined;
  }
  if (!shapes) return undefined;
  const { sentAtMs, leaving, version, listedAsOfMs } = frame;
  const heartbeat: Heartbeat = {
    from,
    sentAtMs,
    leaving,
    version,
    held,
    unreachable,
    workers,
    listedAsOfMs,
    heard,
    bars,
    load: { ...frame.load, shapes },
  };
  const received = digestHeartbeat(heartbeat);
  if (received.digest !== frame.digest) return undefined;
  link.received = received;
  return heartbeat;
}

function noteAcknowledged(
  link: HeartbeatLink,
  have: string | undefined,
): void {
  const { sent, acknowledged } = link;
  if (sent && have === sent.digest) {
    link.acknowledged = sent;
    return;
  }
  if (acknowledged && have === acknowledged.digest) return;
  delete link.acknowledged;
}

function changedSections(
  sent: DigestedHeartbeat,
  base: DigestedHeartbeat | undefined,
): HeartbeatSections {
  const sections = sectionsOf(sent.heartbeat);
  const changed = SECTION_NAMES.filter((name) =>
    base?.texts.get(name) !== sent.texts.get(name)
  );
  return Object.fromEntries(changed.map((name) => [name, sections[name]]));
}

function sectionsOf(heartbeat: Heartbeat): Required<HeartbeatSections> {
  const { from, held, unreachable, workers, heard, bars, load } = heartbeat;
  const { shapes } = load;
  return { from, held, unreachable, workers, heard, bars, shapes };
}

function dynamicLoad(load: Load): HeartbeatFrame["load"] {
  const { queued, queuedByUrgency, free, running } = load;
  return { queued, queuedByUrgency, free, running };
}

function digestHeartbeat(heartbeat: Heartbeat): DigestedHeartbeat {
  const sections = sectionsOf(heartbeat);
  const texts = new Map<SectionName, string>();
  for (const name of SECTION_NAMES) {
    texts.set(name, JSON.stringify(sections[name]));
  }
  const whole = digest([...texts.values()].join());
  return { heartbeat, texts, digest: whole.slice(0, DIGEST_LENGTH) };
}
