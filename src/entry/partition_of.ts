import { hash32 } from "../base/mod.ts";

/** Returns the partition of the domain that a service belongs to. */
export function partitionOf(service: string, partitionCount: number): number {
  return hash32(service) % partitionCount;
}
