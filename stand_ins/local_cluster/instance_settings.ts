/** What the settings of one local entry instance are built from. */
export type InstancePlan = {
  id: string;
  zone: string;
  region: string;
  port: number;
};

/** What every local entry instance shares. */
export type ClusterPlan = {
  secret: string;
  seeds: string[];
  logUrl: string;
  listUrl: string;
  /** Bearer token by customer. */
  customers: Record<string, string>;
  operatorToken: string;
  /** Further sections, such as `lease`, with their keys. */
  sections: Record<string, Record<string, string | number>>;
};

/** Base URL of a local entry instance. */
export function urlOf(plan: InstancePlan): string {
  return `http://127.0.0.1:${plan.port}`;
}

/** Writes the settings of a local entry instance as INI. */
export function instanceSettings(
  plan: InstancePlan,
  cluster: ClusterPlan,
): string {
  const { id, zone, region, port } = plan;
  const seeds = cluster.seeds.join(", ");
  const sections: Record<string, Record<string, string | number>> = {
    instance: {
      id,
      zone,
      region,
      url: urlOf(plan),
      listen: `127.0.0.1:${port}`,
    },
    cluster: { secret: cluster.secret, seeds },
    platform: {
      log_url: cluster.logUrl,
      list_url: cluster.listUrl,
      list_interval_ms: 1_000,
      usage_interval_ms: 2_000,
    },
    customers: cluster.customers,
    operators: { operator: cluster.operatorToken },
    ...cluster.sections,
  };
  return Object.entries(sections).map(formatSection).join("\n");
}

function formatSection(
  [name, keys]: [string, Record<string, string | number>],
): string {
  const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
  return [`[${name}]`, ...lines, ""].join("\n");
}
