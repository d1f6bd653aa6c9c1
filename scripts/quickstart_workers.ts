import type { WorkerConfig } from "../stand_ins/platform/platform.ts";

const CPU_MILLIS_PER_CORE = 1_000;
const MB_PER_GIB = 1_024;
const DESK_WORKERS_PER_ZONE = 3;

/** Three workers of the order desk and one of portrait imaging per zone. */
export function quickstartWorkers(zones: string[]): WorkerConfig[] {
  return zones.flatMap((zone) => {
    const desks = Array.from(
      { length: DESK_WORKERS_PER_ZONE },
      (_worker, index) => ({
        id: `${zone}-desk-${index + 1}`,
        service: "default",
        zone,
        rack: `${zone}-a`,
        capacity: capacityOf(32, 128, 0),
      }),
    );
    const imaging = {
      id: `${zone}-imaging-1`,
      service: "default",
      zone,
      rack: `${zone}-b`,
      capacity: capacityOf(128, 512, 8),
    };
    return [...desks, imaging];
  });
}

function capacityOf(cores: number, memoryGib: number, accelerators: number) {
  return {
    cpuMillis: cores * CPU_MILLIS_PER_CORE,
    memoryMb: memoryGib * MB_PER_GIB,
    accelerators,
  };
}
