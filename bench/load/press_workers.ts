import type { WorkerOptions } from "../../stand_ins/worker/mod.ts";

const DESK_WORKERS = 24;
const DESK_WORKERS_PER_RACK = 5;
const IMAGING_WORKERS = 10;
const IMAGING_WORKERS_PER_RACK = 3;

/** The press's workers at today's size, spread over its zones. */
export function pressWorkers(
  zones: string[],
  region: string,
): WorkerOptions[] {
  const desks = workersOf("desk", DESK_WORKERS, DESK_WORKERS_PER_RACK, {
    cpuMillis: 32_000,
    memoryMb: 131_072,
    accelerators: 0,
  });
  const imaging = workersOf(
    "imaging",
    IMAGING_WORKERS,
    IMAGING_WORKERS_PER_RACK,
    { cpuMillis: 128_000, memoryMb: 524_288, accelerators: 8 },
  );
  return [...desks, ...imaging];

  function workersOf(
    kind: string,
    count: number,
    perRack: number,
    resources: WorkerOptions["capacity"]["resources"],
  ): WorkerOptions[] {
    const perZone = Math.ceil(count / zones.length);
    return Array.from({ length: count }, (_worker, index) => {
      const zone = zones[Math.floor(index / perZone)]!;
      const rack = Math.floor(index % perZone / perRack) + 1;
      return {
        id: `${zone}-${kind}-${index % perZone + 1}`,
        zone,
        region,
        rack: `${zone}-${kind}-${rack}`,
        capacity: { resources, slots: 8, connections: 64 },
      };
    });
  }
}
