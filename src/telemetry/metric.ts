/** How a metric is measured. */
export type MetricKind = "counter" | "gauge" | "timer";

/** A row of the table of metrics. */
export type Metric = {
  kind: MetricKind;
  /** The name as it is sent, after the prefix. */
  name: string;
  /** What is measured; timers are in milliseconds. */
  meaning: string;
};

/** Every metric of the daemon. */
export const metrics = {
  requestsAccepted: counter("requests.accepted", "requests taken on"),
  requestsRefused: counter("requests.refused", "requests refused"),
  requestsEnded: counter("requests.ended", "requests with a final outcome"),
  tasksStarted: counter("tasks.started", "starts that a worker confirmed"),
  tasksFinished: counter("tasks.finished", "tasks that ended well"),
  tasksFailed: counter("tasks.failed", "tasks that ended badly"),
  tasksLost: counter("tasks.lost", "tasks lost with their worker"),
  startsRefused: counter("starts.refused", "starts that a worker refused"),
  preemptions: counter("tasks.preempted", "tasks that had to give way"),
  leasesAcquired: counter("leases.acquired", "workers acquired"),
  leasesLost: counter("leases.lost", "workers lost to others or lapsed"),
  retries: counter("calls.retried", "calls that were repeated"),
  retriesDenied: counter("calls.denied", "repeats that the budget denied"),
  logAppends: counter("log.appends", "appends to the log"),
  logFailures: counter("log.failures", "calls to the log that failed"),
  peerMessages: counter("peers.messages", "messages sent to peers"),
  peerBytes: counter("peers.bytes", "bytes sent to peers"),
  regionBytes: counter("peers.region_bytes", "bytes sent to other regions"),
  queuedTasks: gauge("tasks.queued", "tasks that wait"),
  runningTasks: gauge("tasks.running", "tasks that run"),
  ownedWorkers: gauge("workers.owned", "workers held under a lease"),
  liveMembers: gauge("members.live", "entry instances thought alive"),
  manifestVersion: gauge("manifest.version", "version in force"),
  logBehind: gauge("log.behind", "entries of the log not folded yet"),
  logWaiting: gauge("log.waiting", "records that wait for the log"),
  residentBytes: gauge("process.resident_bytes", "resident memory in bytes"),
  waitTime: timer("tasks.wait", "from acceptance to the confirmed start"),
  decisionTime: timer("placement.decision", "one step of the placement core"),
  appendTime: timer("log.append", "one append to the log"),
  renewTime: timer("leases.renew", "one renewal of a lease"),
  loopDelay: timer("process.loop_delay", "delay of the event loop"),
} as const satisfies Record<string, Metric>;

/** The names of the metrics of one kind. */
export type MetricName<K extends MetricKind> = {
  [N in keyof typeof metrics]: typeof metrics[N]["kind"] extends K ? N : never;
}[keyof typeof metrics];

function counter(name: string, meaning: string): Metric & { kind: "counter" } {
  return { kind: "counter", name, meaning };
}

function gauge(name: string, meaning: string): Metric & { kind: "gauge" } {
  return { kind: "gauge", name, meaning };
}

function timer(name: string, meaning: string): Metric & { kind: "timer" } {
  return { kind: "timer", name, meaning };
}
