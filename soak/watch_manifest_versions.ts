import { setTimeout as delay } from "node:timers/promises";
import * as v from "valibot";
import type { LocalCluster } from "../stand_ins/local_cluster/mod.ts";

const ROUND_INTERVAL_MS = 500;
const OK = 200;

const statusSchema = v.object({
  incarnation: v.string(),
  version: v.number(),
});
const publishedSchema = v.object({ version: v.number() });

/**
 * Publishes pairs of concurrent manifest changes until aborted, and watches
 * the version of every instance. A version must never decrease, and at most
 * one change of a pair may be published.
 */
export async function watchManifestVersions(
  cluster: LocalCluster,
  violations: string[],
  signal: AbortSignal,
): Promise<void> {
  const latestVersions = new Map<string, number>();
  const changeByVersion = new Map<number, string>();
  let baseVersion = 0;
  for (let round = 0; !signal.aborted; round += 1) {
    await Promise.all(cluster.instances.map(async ({ id, url }, index) => {
      const status = await callOperatorApi(
        cluster,
        "GET",
        `${url}/v1/operator/status`,
      );
      const parsed = v.safeParse(statusSchema, status);
      if (parsed.success) {
        const { incarnation, version } = parsed.output;
        // Instances that start in the same millisecond have equal incarnations.
        const processName = `${id}/${incarnation}`;
        const previous = latestVersions.get(processName) ?? -1;
        if (version < previous) {
          violations.push(`${id} went back to version ${version}`);
        }
        latestVersions.set(processName, version);
        baseVersion = Math.max(baseVersion, version);
      }
      if (index > 1) return;
      const changeId = `soak-${round}-${index}`;
      const published = await callOperatorApi(
        cluster,
        "POST",
        `${url}/v1/operator/manifest`,
        { changeId, baseVersion, manifest: cluster.manifest },
      );
      const parsedPublish = v.safeParse(publishedSchema, published);
      if (!parsedPublish.success) return;
      const { version } = parsedPublish.output;
      const otherChangeId = changeByVersion.get(version);
      if (otherChangeId !== undefined && otherChangeId !== changeId) {
        violations.push(
          `${otherChangeId} and ${changeId} both published version ${version}`,
        );
      }
      changeByVersion.set(version, changeId);
    }));
    await delay(ROUND_INTERVAL_MS);
  }
}

async function callOperatorApi(
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
  const isSuccess = reply.kind === "answered" && reply.status === OK;
  return isSuccess ? reply.body : undefined;
}
