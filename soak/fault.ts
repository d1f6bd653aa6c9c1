import type { ProxyMode } from "./fault_proxy.ts";

/** One thing that goes wrong in a run. */
export type Fault =
  /** The process is killed, and started anew after a while. */
  | { kind: "killed"; instance: number }
  | { kind: "paused"; instance: number }
  /** A planned stop, and a new start. */
  | { kind: "stopped"; instance: number }
  /** All processes are killed at once. */
  | { kind: "allKilled" }
  /** The way of one instance to the store. */
  | { kind: "store"; instance: number; proxyMode: ProxyMode }
  /** The store itself, for all instances. */
  | { kind: "wholeStore"; proxyMode: ProxyMode }
  /** The way of all instances to one worker. */
  | { kind: "worker"; worker: number; proxyMode: ProxyMode };

/** A fault with its time. */
export type PlannedFault = {
  /** After the start of the load, in milliseconds. */
  atMs: number;
  /** How long it lasts; for a process, until it is started anew. */
  durationMs: number;
  fault: Fault;
};

/** Names a fault in reports. */
export function describeFault(fault: Fault): string {
  switch (fault.kind) {
    case "killed":
    case "paused":
    case "stopped":
      return `instance ${fault.instance} ${fault.kind}`;
    case "allKilled":
      return "all instances killed";
    case "store":
      return `store for instance ${fault.instance} ${fault.proxyMode.kind}`;
    case "wholeStore":
      return `store ${fault.proxyMode.kind}`;
    case "worker":
      return `worker ${fault.worker} ${fault.proxyMode.kind}`;
  }
}
