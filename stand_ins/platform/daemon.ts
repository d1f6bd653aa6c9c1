import { type ChildProcess, spawn } from "node:child_process";
import { openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const LOOPBACK = "127.0.0.1";

/** How many ports a daemon listens on. */
export const PORTS_PER_DAEMON = 4;

/** What a daemon is started with. */
export type DaemonOptions = {
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
  readinessUrl: string;
  /** Its address among the instances. */
  peerAddress: string;
};

/** Starts a daemon on the stand-ins of the platform. */
export function startDaemon(options: DaemonOptions): Daemon {
  const [callers, readiness, peers, metrics] = options.ports;
  const settingsPath = join(options.folder, `${options.number}.ini`);
  writeFileSync(
    settingsPath,
    [
      `[instance]\nid = entry-${options.number}\nzone = a\nregion = r\ncores = 1`,
      `[listen]\ncallers = ${LOOPBACK}:${callers}`,
      `readiness = ${LOOPBACK}:${readiness}\ninternal_host = ${LOOPBACK}`,
      `peer_port = ${peers}\nmetrics_port = ${metrics}`,
      `[store]\naddress = ${options.store}\npartitions = ${options.partitions}`,
      `member_ttl_ms = 1500\n[advice]\naddress = ${options.advice}`,
      "[workers]\nheartbeat_ms = 1500\n[lease]\nmax_ms = 6000",
      "[jobs]\nkeep_ended_s = 120\n[stop]\ngrace_s = 6",
    ].join("\n"),
  );
  const argumentList = [
    ...options.nodeArguments ?? [],
    options.program,
    "--settings",
    settingsPath,
  ];
  const output = options.log === undefined
    ? "ignore"
    : openSync(options.log, "w");
  const child = spawn(process.execPath, argumentList, {
    stdio: ["ignore", output, "inherit"],
  });
  return {
    child,
    url: `http://${LOOPBACK}:${callers}`,
    readinessUrl: `http://${LOOPBACK}:${readiness}/readyz`,
    peerAddress: `${LOOPBACK}:${peers}`,
  };
}
