import type { WorkerOptions } from "../stand_ins/worker/mod.ts";

const CORE_MILLIS = 1_000;
const GIB = 1_024;
const SLOTS = 8;
const CONNECTIONS = 64;
const DESK_WORKERS_PER_ZONE = 3;

/** Three workers of the order desk and one of portrait imaging per zone. */
export function quickstartWorkers(
  zones: string[],
  region: string,
): WorkerOptions[] {
  return zones.flatMap((zone) => {
    const place = { zone, region };
    const desks = Array.from(
      { length: DESK_WORKERS_PER_ZONE },
      (_worker, index) => ({
        ...place,
        id: `${zone}-desk-${index + 1}`,
        rack: `${zone}-a`,
        capacity: capacityOf(32, 128, 0),
      }),
    );
    const imaging = {
      ...place,
      id: `${zone}-imaging-1`,
      rack: `${zone}-b`,
      capacity: capacityOf(128, 512, 8),
    };
    return [...desks, imaging];
  });
}

function capacityOf(cores: number, memoryGib: number, accelerators: number) {
  return {
    resources: {
      cpuMillis: cores * CORE_MILLIS,
      memoryMb: memoryGib * GIB,
      accelerators,
    },
    slots: SLOTS,
    connections: CONNECTIONS,
  };
}
