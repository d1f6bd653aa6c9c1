import { fileURLToPath } from "node:url";
import * as v from "valibot";
import {
  type LocalCluster,
  startProgram,
  waitUntil,
} from "../stand_ins/local_cluster/mod.ts";

const CLI_PATH = fileURLToPath(
  new URL("../src/cli/samphirestage.js", import.meta.url),
);
const PRINTED_TIME_LINE_LINES = 12;
/** Exceeds the delay after which owners record usage. */
const USAGE_TIMEOUT_MS = 20_000;

const accountSchema = v.object({
  rows: v.array(v.object({ used: v.optional(v.number()) })),
});

/**
 * Waits until some usage is recorded, and prints the account of the month.
 *
 * @throws if no usage is recorded in time
 */
export async function printAccount(cluster: LocalCluster): Promise<void> {
  const month = new Date().toISOString().slice(0, "YYYY-MM".length);
  const path = `/v1/operator/account?month=${month}`;
  console.log("Waiting until the usage has been recorded.");
  await waitUntil("usage in the account", USAGE_TIMEOUT_MS, async () => {
    const reply = await cluster.api.call(
      "GET",
      runningInstanceUrl(cluster) + path,
      {
        token: cluster.operatorToken,
      },
    );
    if (reply.kind === "failed" || reply.status !== 200) return false;
    const { rows } = v.parse(accountSchema, reply.body);
    return rows.some(({ used = 0 }) => used > 0);
  });
  console.log(`\nsamphirestage account --month ${month}`);
  console.log(await runCli(cluster, ["account", "--month", month]));
}

/** Prints the last events of the merged time line of all instances. */
export async function printTimeLine(cluster: LocalCluster): Promise<void> {
  const lines = (await runCli(cluster, ["timeline"])).split("\n");
  console.log(`samphirestage timeline, last lines of ${lines.length}`);
  console.log(lines.slice(-PRINTED_TIME_LINE_LINES).join("\n"), "\n");
}

async function runCli(
  cluster: LocalCluster,
  argumentList: string[],
): Promise<string> {
  const connection = ["--url", runningInstanceUrl(cluster), "--token"];
  const program = startProgram("samphirestage", CLI_PATH, [
    ...argumentList,
    ...connection,
    cluster.operatorToken,
  ]);
  await program.exited;
  return program.output().trimEnd();
}

/** Base URL of the first instance that is still running. */
function runningInstanceUrl(cluster: LocalCluster): string {
  const running = cluster.instances.filter(({ program }) =>
    !program.hasExited()
  );
  return running[0]!.url;
}
