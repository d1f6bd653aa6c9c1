/** The ports of one local entry instance. */
export type InstancePorts = {
  /** Of the product's own HTTP API. */
  api: number;
  /** Of the interface for the platform's clients; unused in local clusters. */
  callers: number;
  readiness: number;
  peers: number;
  metrics: number;
};

/** Identity, location and ports of one local entry instance. */
export type InstanceConfig = {
  id: string;
  zone: string;
  region: string;
  ports: InstancePorts;
};

/** Settings that all local entry instances share. */
export type ClusterConfig = {
  /** `IP:port` of the store. */
  store: string;
  partitions: number;
  /** Bearer token by customer. */
  customers: Record<string, string>;
  operatorToken: string;
};

const LOOPBACK = "127.0.0.1";
/** The longest lease that workers grant, in milliseconds. */
export const MAX_LEASE_MS = 6_000;

/** Base URL of the API of a local entry instance. */
export function apiUrl({ ports }: InstanceConfig): string {
  return `http://${LOOPBACK}:${ports.api}`;
}

/** URL of the readiness probe of a local entry instance. */
export function readinessUrl({ ports }: InstanceConfig): string {
  return `http://${LOOPBACK}:${ports.readiness}/readyz`;
}

/** Formats the settings of a local entry instance as INI. */
export function formatInstanceSettings(
  config: InstanceConfig,
  cluster: ClusterConfig,
): string {
  const { id, zone, region, ports } = config;
  const sections: Record<string, Record<string, string | number>> = {
    instance: { id, zone, region, cores: 1 },
    listen: {
      callers: `${LOOPBACK}:${ports.callers}`,
      readiness: `${LOOPBACK}:${ports.readiness}`,
      internal_host: LOOPBACK,
      peer_port: ports.peers,
      metrics_port: ports.metrics,
      api: `${LOOPBACK}:${ports.api}`,
    },
    peers: { secret: "secret-of-the-local-cluster" },
    store: {
      address: cluster.store,
      partitions: cluster.partitions,
      member_ttl_ms: 1_500,
    },
    workers: { heartbeat_ms: 1_500 },
    lease: { max_ms: MAX_LEASE_MS },
    jobs: { keep_ended_s: 120 },
    stop: { grace_s: 6 },
    customers: cluster.customers,
    operators: { operator: cluster.operatorToken },
  };
  return Object.entries(sections).map(formatSection).join("\n");
}

function formatSection(
  [name, keys]: [string, Record<string, string | number>],
): string {
  const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
  return [`[${name}]`, ...lines, ""].join("\n");
}
