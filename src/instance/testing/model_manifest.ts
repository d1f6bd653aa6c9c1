import type { Manifest, WorkKind } from "../../model/mod.ts";

/** The customer of the model's requests. */
export const CUSTOMER = "press";
/** The agreement of the model's requests. */
export const AGREEMENT = "press-orders";

/** Work that runs longer than a lease lasts. */
export const LONG_WORK = "render";

const SHARE = { cpuMillis: 100_000, memoryMb: 100_000, accelerators: 0 };

/** One kind of work of each sort. */
export const MANIFEST: Manifest = {
  customers: [{ name: CUSTOMER }],
  agreements: [{
    name: AGREEMENT,
    customer: CUSTOMER,
    share: SHARE,
    work: [
      work("receipt", { idempotent: false }),
      work("proof", { idempotent: true, urgency: 9 }),
      work("run", { idempotent: false, durable: true }),
      work("scan", { idempotent: true, durable: true }),
      work("gang", {
        idempotent: false,
        policy: { kind: "gang", holdMs: 1_000 },
      }),
      work(LONG_WORK, { idempotent: true, durationMs: 4_000 }),
    ],
  }],
};

/** The names of the kinds of work that end soon. */
export const WORK_NAMES = MANIFEST.agreements[0]!.work
  .map((kind) => kind.name)
  .filter((name) => name !== LONG_WORK);

function work(name: string, more: Partial<WorkKind>): WorkKind {
  return {
    name,
    policy: { kind: "batch" },
    urgency: 5,
    idempotent: false,
    durable: false,
    demand: { cpuMillis: 1_000, memoryMb: 500, accelerators: 0 },
    durationMs: 300,
    ...more,
  };
}
