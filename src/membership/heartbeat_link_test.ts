import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Instance } from "../model/mod.ts";
import {
  buildHeartbeat,
  createHeartbeatLink,
  createMembership,
  type Heartbeat,
  type HeartbeatExtras,
  type Membership,
  peersToBeat,
  readHeartbeat,
  receiveHeartbeat,
  receiveList,
  writeHeartbeat,
} from "./mod.ts";

const SEED = 20_252;
/** The letter's bound for control on a node. */
const CONTROL_BYTES_PER_S = 3_000;
/** Headers and envelope of one call over HTTP, both directions together. */
const CALL_OVERHEAD_BYTES = 500;
const INSTANCES = 36;
const ZONES = 6;
const WORKERS = 1_000;
const WARM_UP_S = 60;
const MEASURED_S = 120;
const OPTIONS = {
  deadAfterMs: 6_000,
  zoneBeatMs: 2_000,
  remoteBeatMs: 30_000,
};

test("heartbeat link: what is read is what was written, or nothing", () => {
  const steps = fc.array(
    fc.record({
      toFirst: fc.boolean(),
      workers: fc.nat({ max: 3 }),
      fate: fc.constantFrom("arrives", "arrives", "lost", "restart"),
    }),
    { maxLength: 40 },
  );
  fc.assert(
    fc.property(steps, (list) => {
      const links = [createHeartbeatLink(), createHeartbeatLink()];
      list.forEach(({ toFirst, workers, fate }, index) => {
        const [to, from] = toFirst ? [0, 1] : [1, 0];
        if (fate === "restart") links[to] = createHeartbeatLink();
        exchange(links, from, to, heartbeatOf(index, workers), fate === "lost");
      });
      const last = heartbeatOf(list.length, 2);
      exchange(links, 0, 1, last, false);
      exchange(links, 1, 0, last, false);
      assert.deepEqual(exchange(links, 0, 1, last, false), last);
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

test("heartbeat link: 36 instances and 1,000 workers stay within 3 KB/s", () => {
  const cluster = createCluster();
  const links = new Map<string, ReturnType<typeof createHeartbeatLink>>();
  const linkOf = (from: string, to: string) => {
    const found = links.get(`${from} ${to}`) ?? createHeartbeatLink();
    links.set(`${from} ${to}`, found);
    return found;
  };
  const sent = new Map<string, number>();
  const send = (from: string, to: string, nowMs: number) => {
    const { membership, extras } = cluster.get(from)!;
    const frame = writeHeartbeat(
      linkOf(from, to),
      buildHeartbeat(membership, extras),
    );
    const heartbeat = readHeartbeat(linkOf(to, from), frame);
    if (heartbeat) {
      receiveHeartbeat(cluster.get(to)!.membership, heartbeat, nowMs);
    }
    if (nowMs < WARM_UP_S * 1_000) return;
    const bytes = JSON.stringify(frame).length + CALL_OVERHEAD_BYTES / 2;
    sent.set(from, (sent.get(from) ?? 0) + bytes);
  };
  const endMs = (WARM_UP_S + MEASURED_S) * 1_000;
  for (let nowMs = 0; nowMs < endMs; nowMs += 500) {
    for (const [url, { membership }] of cluster) {
      for (const peer of peersToBeat(membership, nowMs)) {
        send(url, peer.url, nowMs);
        send(peer.url, url, nowMs);
      }
    }
  }
  const largest = Math.max(...sent.values()) / MEASURED_S;
  console.log(`heartbeats: ${Math.round(largest)} bytes/s sent per instance`);
  assert.ok(largest <= CONTROL_BYTES_PER_S, `${largest} bytes/s`);
});

type Node = { membership: Membership; extras: HeartbeatExtras };

function exchange(
  links: ReturnType<typeof createHeartbeatLink>[],
  from: number,
  to: number,
  heartbeat: Heartbeat,
  lost: boolean,
): Heartbeat | undefined {
  const frame = writeHeartbeat(links[from]!, heartbeat);
  if (lost) return undefined;
  const read = readHeartbeat(links[to]!, frame);
  if (read) assert.deepEqual(read, heartbeat);
  return read;
}

function heartbeatOf(index: number, workers: number): Heartbeat {
  const membership = createMembership(instance(0), OPTIONS);
  membership.nowMs = index;
  return buildHeartbeat(membership, extrasOf(0, workers));
}

function createCluster(): Map<string, Node> {
  const cluster = new Map<string, Node>();
  const all = Array.from({ length: INSTANCES }, (_, index) => instance(index));
  const workers = Array.from({ length: WORKERS }, (_, index) => ({
    id: `zone-${index % ZONES}-worker-${index}`,
    url: `http://10.1.0.${index}:9000`,
    zone: `zone-${index % ZONES}`,
    region: "region",
    rack: "rack",
    leaving: false,
  }));
  all.forEach((self, index) => {
    const membership = createMembership(self, OPTIONS);
    const instances = all.map((each) => ({ ...each, leaving: false }));
    receiveList(membership, { asOfMs: 1, instances, workers }, 0);
    const extras = extrasOf(index, Math.ceil(WORKERS / INSTANCES));
    cluster.set(self.url, { membership, extras });
  });
  return cluster;
}

function extrasOf(index: number, count: number): HeartbeatExtras {
  const held = Array.from({ length: count }, (_, number) => ({
    worker: `zone-${index % ZONES}-worker-${number * INSTANCES + index}`,
    token: 17,
  }));
  return {
    leaving: false,
    version: 123_456,
    held,
    unreachable: [],
    load: {
      queued: 120,
      queuedByUrgency: [40, 0, 0, 30, 0, 50, 0, 0, 0, 0],
      free: { cpuMillis: 123_000, memoryMb: 456_000, accelerators: 7 },
      running: 640,
      shapes: [
        {
          resources: { cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0 },
          slots: 8,
          count,
        },
      ],
    },
  };
}

function instance(index: number): Instance {
  return {
    id: `zone-${index % ZONES}-entry-${index}`,
    incarnation: "mb3k9x2f1abc",
    zone: `zone-${index % ZONES}`,
    region: "region",
    url: `http://10.0.0.${index}:8000`,
  };
}
