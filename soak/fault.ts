import type { ProxyMode } from "./fault_proxy.ts";

/** A fault injected during a run. */
export type InjectedFault =
  /** The process is killed with SIGKILL and restarted later. */
  | { kind: "killed"; instance: number }
  /** The process is paused with SIGSTOP and resumed later. */
  | { kind: "paused"; instance: number }
  /** The process is shut down with SIGTERM and restarted later. */
  | { kind: "stopped"; instance: number }
  /** The process that owns the domains is killed and restarted later. */
  | { kind: "ownerKilled" }
  /** All processes are killed at once and restarted later. */
  | { kind: "allKilled" }
  /** Affects the connections of one instance to the store. */
  | { kind: "store"; instance: number; proxyMode: ProxyMode }
  /** Affects the connections of all instances to the store. */
  | { kind: "wholeStore"; proxyMode: ProxyMode }
  /** Affects the connections of all instances to one worker. */
  | { kind: "worker"; worker: number; proxyMode: ProxyMode }
  /**
   * A worker crashes without a sign and starts again under its id; it may be cut
   * off some time after its return.
   */
  | { kind: "workerRestarted"; worker: number; cut: PlannedCut | undefined };

/** For how long a worker is cut off, and when after its return, in ms. */
export type PlannedCut = { afterMs: number; durationMs: number };

/** A fault with its time and duration. */
export type PlannedFault = {
  /** Time after the start of the load, in milliseconds. */
  atMs: number;
  /** Duration in milliseconds; for a process, until it is restarted. */
  durationMs: number;
  fault: InjectedFault;
};

/** Describes a fault for reports. */
export function describeFault(fault: InjectedFault): string {
  switch (fault.kind) {
    case "killed":
    case "paused":
    case "stopped":
      return `instance ${fault.instance} ${fault.kind}`;
    case "ownerKilled":
      return "the owner killed";
    case "allKilled":
      return "all instances killed";
    case "store":
      return `store for instance ${fault.instance} ${fault.proxyMode.kind}`;
    case "wholeStore":
      return `store ${fault.proxyMode.kind}`;
    case "worker":
      return `worker ${fault.worker} ${fault.proxyMode.kind}`;
    case "workerRestarted":
      return `worker ${fault.worker} restarted` +
        (fault.cut === undefined ? "" : " and cut off");
  }
}
