import { type ChildProcess, spawn } from "node:child_process";
import { openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const LOOPBACK = "127.0.0.1";

/** How many ports a daemon listens on. */
export const PORTS_PER_DAEMON = 4;

/** What a daemon is started with. */
export type DaemonPlan = {
  /** The daemon's file, as Node.js runs it. */
  program: string;
  /** Arguments of Node.js before it. */
  nodeArguments?: string[];
  /** Folder for its settings. */
  folder: string;
  number: number;
  ports: number[];
  /** `IP:port` of the store. */
  store: string;
  partitions: number;
  /** `IP:port` of the placement policy; empty where there is none. */
  advice: string;
  /** File for its log; it is dropped if absent. */
  log?: string;
};

/** A daemon that runs as a process of its own. */
export type Daemon = {
  child: ChildProcess;
  /** Base URL for clients of the platform. */
  url: string;
  ready: string;
  /** Its address among the instances. */
  peer: string;
};

/** Starts a daemon on the stand-ins of the platform. */
export function startDaemon(plan: DaemonPlan): Daemon {
  const [callers, readiness, peers, metrics] = plan.ports;
  const file = join(plan.folder, `${plan.number}.ini`);
  writeFileSync(
    file,
    [
      `[instance]\nid = entry-${plan.number}\nzone = a\nregion = r\ncores = 1`,
      `[listen]\ncallers = ${LOOPBACK}:${callers}`,
      `readiness = ${LOOPBACK}:${readiness}\ninternal_host = ${LOOPBACK}`,
      `peer_port = ${peers}\nmetrics_port = ${metrics}`,
      `[store]\naddress = ${plan.store}\npartitions = ${plan.partitions}`,
      `member_ttl_ms = 1500\n[advice]\naddress = ${plan.advice}`,
      "[workers]\nheartbeat_ms = 1500\n[lease]\nmax_ms = 6000",
      "[jobs]\nkeep_ended_s = 120\n[stop]\ngrace_s = 6",
    ].join("\n"),
  );
  const words = [
    ...plan.nodeArguments ?? [],
    plan.program,
    "--settings",
    file,
  ];
  const output = plan.log === undefined ? "ignore" : openSync(plan.log, "w");
  const child = spawn(process.execPath, words, {
    stdio: ["ignore", output, "inherit"],
  });
  return {
    child,
    url: `http://${LOOPBACK}:${callers}`,
    ready: `http://${LOOPBACK}:${readiness}/readyz`,
    peer: `${LOOPBACK}:${peers}`,
  };
}
