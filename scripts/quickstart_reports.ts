import type { LocalCluster } from "../stand_ins/local_cluster/mod.ts";

const LAST_EVENTS = 12;

/** Prints the account of the month as an entry instance reports it. */
export async function showAccount(cluster: LocalCluster): Promise<void> {
  const month = new Date().toISOString().slice(0, "YYYY-MM".length);
  const account = await ask(cluster, `/v1/operator/account?month=${month}`);
  console.log(`Account of ${month}: ${JSON.stringify(account)}`);
}

/** Prints the end of one instance's time line. */
export async function showTimeLine(cluster: LocalCluster): Promise<void> {
  const line = await ask(cluster, "/v1/operator/timeline?after=0");
  const { events = [] } = (line ?? {}) as { events?: unknown[] };
  console.log(`Time line, the last of ${events.length} events:`);
  for (const event of events.slice(-LAST_EVENTS)) {
    console.log(`  ${JSON.stringify(event)}`);
  }
}

/** Asks the first instance that answers. */
async function ask(cluster: LocalCluster, path: string): Promise<unknown> {
  for (const { url } of cluster.instances) {
    const reply = await cluster.api.call("GET", url + path, {
      token: cluster.operatorToken,
    });
    if (reply.kind === "answered" && reply.status === 200) return reply.body;
  }
  return undefined;
}
