import { setTimeout as delay } from "node:timers/promises";
import * as v from "valibot";
import type { LocalCluster } from "../stand_ins/local_cluster/mod.ts";

const INTERVAL_MS = 500;
const OK = 200;

const statusSchema = v.object({
  incarnation: v.string(),
  version: v.number(),
});
const publishedSchema = v.object({ version: v.number() });

/**
 * Publishes changes of the manifest in pairs that race, and watches the
 * version of every instance: it never falls, and of a pair at most one wins.
 */
export async function watchVersions(
  cluster: LocalCluster,
  faults: string[],
  signal: AbortSignal,
): Promise<void> {
  const seen = new Map<string, number>();
  const winners = new Map<number, string>();
  let newest = 0;
  for (let round = 0; !signal.aborted; round += 1) {
    await Promise.all(cluster.instances.map(async ({ id, url }, index) => {
      const status = await ask(cluster, "GET", `${url}/v1/operator/status`);
      const parsed = v.safeParse(statusSchema, status);
      if (parsed.success) {
        const { incarnation, version } = parsed.output;
        const known = seen.get(incarnation) ?? -1;
        if (version < known) faults.push(`${id} fell back to ${version}`);
        seen.set(incarnation, version);
        newest = Math.max(newest, version);
      }
      if (index > 1) return;
      const changeId = `soak-${round}-${index}`;
      const published = await ask(
        cluster,
        "POST",
        `${url}/v1/operator/manifest`,
        { changeId, baseVersion: newest, manifest: cluster.manifest },
      );
      const won = v.safeParse(publishedSchema, published);
      if (!won.success) return;
      const { version } = won.output;
      const winner = winners.get(version);
      if (winner !== undefined && winner !== changeId) {
        faults.push(`${winner} and ${changeId} both won version ${version}`);
      }
      winners.set(version, changeId);
    }));
    await delay(INTERVAL_MS);
  }
}

async function ask(
  { api, operatorToken: token }: LocalCluster,
  method: "GET" | "POST",
  url: string,
  body?: object,
): Promise<unknown> {
  const reply = await api.call(method, url, {
    token,
    ...(body === undefined ? {} : { body }),
    timeoutMs: 2_000,
  });
  const isGood = reply.kind === "answered" && reply.status === OK;
  return isGood ? reply.body : undefined;
}
