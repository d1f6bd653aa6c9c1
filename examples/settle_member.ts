/**
 * Embeds membership: an instance falls silent, its peer bars it, and it is
 * settled once every worker of the zone has acknowledged the bar. From then on
 * the peer may answer for it.
 *
 * @module
 */
import {
  acknowledgeBars,
  advance,
  barsFor,
  buildHeartbeat,
  createMembership,
  desiredOwner,
  type HeartbeatExtras,
  holderOf,
  type Instance,
  isSettled,
  memberState,
  receiveHeartbeat,
  receiveList,
} from "samphirestage";

const OPTIONS = { deadAfterMs: 3_000, zoneBeatMs: 500, remoteBeatMs: 3_000 };
const WORKER = {
  id: "worker-1",
  url: "http://127.0.0.1:9101",
  zone: "kigali",
  region: "rwanda",
  rack: "rack-4",
};

const mine = createMembership(instanceOf("kigali-1"), OPTIONS);
const other = createMembership(instanceOf("kigali-2"), OPTIONS);
const otherHolder = holderOf(other.self);
const list = {
  asOfMs: 0,
  instances: [mine.self, other.self].map((instance) => ({
    ...instance,
    leaving: false,
  })),
  workers: [{ ...WORKER, leaving: false }],
};
receiveList(mine, list, 0);
receiveHeartbeat(mine, buildHeartbeat(other, extrasOf(0)), 0);
show("after a heartbeat");

advance(mine, 3_000);
show("after 3 s of silence");

// The peer takes the worker over; its lease carries the bar to the worker.
buildHeartbeat(mine, extrasOf(1));
acknowledgeBars(mine, WORKER.id, barsFor(mine));
show("after the worker acknowledged the bar");

function show(moment: string): void {
  const owner = desiredOwner(mine, WORKER)?.id;
  const settled = isSettled(mine, otherHolder, ["kigali"]);
  console.log(
    `${moment}: kigali-2 is ${memberState(mine, otherHolder)}, ` +
      `settled ${settled}, worker-1 belongs to ${owner}`,
  );
}

function extrasOf(heldWorkers: number): HeartbeatExtras {
  const held = [{ worker: WORKER.id, token: 2 }].slice(0, heldWorkers);
  return {
    leaving: false,
    version: -1,
    held,
    unreachable: [],
    load: {
      queued: 0,
      queuedByUrgency: [],
      free: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
      running: 0,
      shapes: [],
    },
  };
}

function instanceOf(id: string): Instance {
  return {
    id,
    incarnation: "i1",
    zone: "kigali",
    region: "rwanda",
    url: `http://127.0.0.1/${id}`,
  };
}
