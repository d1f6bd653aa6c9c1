import type { WorkerConfig } from "../stand_ins/platform/platform.ts";

const CPU_MILLIS_PER_CORE = 1_000;
const MIB_PER_GIB = 1_024;
const DESK_WORKERS_PER_ZONE = 3;

/** Builds three small workers and one with accelerators per zone. */
export function quickstartWorkers(zones: string[]): WorkerConfig[] {
  return zones.flatMap((zone) => {
    const deskWorkers = Array.from(
      { length: DESK_WORKERS_PER_ZONE },
      (_worker, index) => ({
        id: `${zone}-desk-${index + 1}`,
        service: "default",
        zone,
        rack: `${zone}-a`,
        capacity: buildCapacity(32, 128, 0),
      }),
    );
    const imagingWorker = {
      id: `${zone}-imaging-1`,
      service: "default",
      zone,
      rack: `${zone}-b`,
      capacity: buildCapacity(128, 512, 8),
    };
    return [...deskWorkers, imagingWorker];
  });
}

function buildCapacity(cores: number, memoryGib: number, accelerators: number) {
  return {
    cpuMillis: cores * CPU_MILLIS_PER_CORE,
    memoryMb: memoryGib * MIB_PER_GIB,
    accelerators,
  };
}
