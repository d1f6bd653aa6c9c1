import { type ChildProcess, spawn } from "node:child_process";
import { openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const LOOPBACK = "127.0.0.1";

/** Number of ports that a daemon listens on. */
export const PORTS_PER_DAEMON = 4;

/** Bearer token of the operator of a daemon with the product's own API. */
export const OPERATOR_TOKEN = "token-of-the-operator";

/** Options for `startDaemon`. */
export type DaemonOptions = {
  /** Path of the daemon's JavaScript file. */
  program: string;
  /** Node.js options, placed before the program. */
  nodeArguments?: string[];
  /** Folder that the settings file is written to. */
  folder: string;
  /** Index of the instance; part of its id and of its settings file name. */
  number: number;
  /** `PORTS_PER_DAEMON` free ports, and one more for the product's own API. */
  ports: number[];
  /** Whether the product's own API is served, to the operator `OPERATOR_TOKEN`. */
  hasApi?: boolean;
  /** `IP:port` of the store. */
  store: string;
  partitions: number;
  /** `IP:port` of the placement policy; empty if there is none. */
  advice: string;
  /** Further sections of its settings, in INI; none if absent. */
  settings?: string;
  /** What the daemon may take; the defaults of the settings if absent. */
  machine?: { memoryMb: number; descriptors: number };
  /** Path of the log file; without it, standard output is discarded. */
  log?: string;
};

/** A daemon that runs as a child process. */
export type Daemon = {
  child: ChildProcess;
  /** Base URL of the interface for the platform's clients. */
  url: string;
  readinessUrl: string;
  /** `IP:port` that the other instances reach it at. */
  peerAddress: string;
  metricsUrl: string;
  /** Base URL of the product's own API, if it is served. */
  apiUrl: string | undefined;
};

/** Writes the settings of a daemon and starts it against the stand-ins. */
export function startDaemon(options: DaemonOptions): Daemon {
  const [callers, readiness, peers, metrics, api] = options.ports;
  const { hasApi = false, machine } = options;
  const settingsPath = join(options.folder, `${options.number}.ini`);
  writeFileSync(
    settingsPath,
    [
      `[instance]\nid = entry-${options.number}\nzone = a\nregion = r\ncores = 1`,
      `[listen]\ncallers = ${LOOPBACK}:${callers}`,
      `readiness = ${LOOPBACK}:${readiness}\ninternal_host = ${LOOPBACK}`,
      `peer_port = ${peers}\nmetrics_port = ${metrics}`,
      hasApi ? `api = ${LOOPBACK}:${api}` : "",
      `[store]\naddress = ${options.store}\npartitions = ${options.partitions}`,
      `member_ttl_ms = 1500\n[advice]\naddress = ${options.advice}`,
      "[workers]\nheartbeat_ms = 1500\n[lease]\nmax_ms = 6000",
      "[jobs]\nkeep_ended_s = 120\n[stop]\ngrace_s = 6",
      options.settings ?? "",
      machine === undefined
        ? ""
        : `[machine]\nmemory_mb = ${machine.memoryMb}\n` +
          `descriptors = ${machine.descriptors}`,
      hasApi ? `[operators]\noperator = ${OPERATOR_TOKEN}` : "",
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
    metricsUrl: `http://${LOOPBACK}:${metrics}/metrics`,
    apiUrl: hasApi ? `http://${LOOPBACK}:${api}` : undefined,
  };
}
