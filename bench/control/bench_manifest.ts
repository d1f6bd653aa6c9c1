import type { Agreement, Manifest } from "../../src/model/mod.ts";

/** The customer under whose agreements the bench submits. */
export const CUSTOMER = "bench";
/** The customer's token. */
export const TOKEN = "token-of-the-bench";

/** Builds a manifest of a number of agreements of like size. */
export function benchManifest(agreements: number): Manifest {
  return {
    customers: [{ name: CUSTOMER }],
    agreements: Array.from({ length: agreements }, agreementOf),
  };
}

/** The name of an agreement of the manifest. */
export function agreementName(index: number): string {
  return `team-${index + 1}`;
}

function agreementOf(_: unknown, index: number): Agreement {
  return {
    name: agreementName(index),
    customer: CUSTOMER,
    share: { cpuMillis: 200_000, memoryMb: 800_000, accelerators: 7 },
    work: [
      workOf("urgent", 8, false, false),
      workOf("letters", 3, true, true),
    ],
  };
}

function workOf(
  name: string,
  urgency: number,
  idempotent: boolean,
  durable: boolean,
): Agreement["work"][number] {
  return {
    name,
    policy: { kind: "batch" },
    urgency,
    idempotent,
    durable,
    demand: { cpuMillis: 1_000, memoryMb: 2_048, accelerators: 0 },
    durationMs: 200,
  };
}
