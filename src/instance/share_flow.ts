/**
 * Cuts the agreements' shares down to what this instance may use.
 *
 * @module
 */
import {
  cutShares,
  forgetUsage,
  noteUsage,
  noteZoneCapacity,
} from "../limits/mod.ts";
import { heardMembers, type Load, membersOf } from "../membership/mod.ts";
import { addResources, NO_RESOURCES, type Resources } from "../model/mod.ts";
import { placementLoad } from "../placement/mod.ts";
import type { Flow } from "./flow.ts";
import { applyPlacement } from "./placement_driver.ts";
import type { Scheduler } from "./scheduler.ts";
import { sleep } from "./waits.ts";

/** How often shares are cut anew. */
const SHARE_INTERVAL_MS = 2_000;

/** Keeps the shares cut for as long as it runs. */
export function* keepShares(scheduler: Scheduler): Flow<void> {
  while (true) {
    yield* sleep(SHARE_INTERVAL_MS);
    const { manifest } = scheduler.log;
    if (manifest === undefined) continue;
    noteCapacities(scheduler);
    noteInstances(scheduler);
    const { shareBook, self } = scheduler;
    const shares = cutShares(shareBook, manifest, self);
    applyPlacement(scheduler, { kind: "sharesCut", shares });
  }
}

/** Zones that are not heard any more keep the capacity they had. */
function noteCapacities(scheduler: Scheduler): void {
  const zones = new Map<string, Resources>();
  const add = (zone: string, load: Load) => {
    const capacity = zones.get(zone) ?? NO_RESOURCES;
    zones.set(zone, addResources(capacity, capacityOf(load)));
  };
  add(scheduler.self.zone, placementLoad(scheduler.placement));
  for (const { instance, heartbeat } of heardMembers(scheduler.membership)) {
    add(instance.zone, heartbeat.load);
  }
  for (const [zone, capacity] of zones) {
    noteZoneCapacity(scheduler.shareBook, zone, capacity);
  }
}

/** The instances of a zone get equal parts of its budget. */
function noteInstances(scheduler: Scheduler): void {
  const { membership, self, shareBook } = scheduler;
  const live = membersOf(membership, self.zone).map((instance) => instance.id);
  for (const instance of shareBook.demands.keys()) {
    if (!live.includes(instance)) forgetUsage(shareBook, instance);
  }
  for (const instance of live) {
    noteUsage(shareBook, { instance, demand: new Map() });
  }
}

function capacityOf(load: Load): Resources {
  return load.shapes.reduce((sum, { resources, count }) =>
    addResources(sum, {
      cpuMillis: resources.cpuMillis * count,
      memoryMb: resources.memoryMb * count,
      accelerators: resources.accelerators * count,
    }), NO_RESOURCES);
}
