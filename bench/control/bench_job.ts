import type { Request } from "../../src/model/mod.ts";
import { agreementName, CUSTOMER } from "./bench_manifest.ts";

/** Builds a durable job whose tasks differ in their payload only. */
export function jobOf(index: number, tasks: number): Request {
  const id = `zone-1.zone-1-1.m3x9.${index}.AAAAAAAAAAAAAAAA`;
  const agreement = agreementName(index % 280);
  return {
    id,
    customer: CUSTOMER,
    agreement,
    work: "letters",
    digest: "0123456789abcdef".repeat(4),
    durable: true,
    acceptedAtMs: Date.UTC(2026, 11, 1),
    tasks: Array.from({ length: tasks }, (_, position) => ({
      id: `${id}/${position}`,
      requestId: id,
      index: position,
      count: tasks,
      attempt: 1,
      customer: CUSTOMER,
      agreement,
      work: "letters",
      policy: { kind: "batch" },
      urgency: 3,
      idempotent: true,
      demand: { cpuMillis: 1_000, memoryMb: 2_048, accelerators: 0 },
      durationMs: 60_000,
      payload: { page: position, template: "verse-12" },
    })),
  };
}
