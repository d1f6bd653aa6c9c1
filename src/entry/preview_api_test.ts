import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PlacementQuestion } from "../api/mod.ts";
import { listing, policy, step } from "../domain/testing/domain_bench.ts";
import { createBench, listWorkers } from "../domain/testing/domain_bench.ts";
import { previewJob } from "../domain/mod.ts";
import { createConfigurationState } from "./configuration.ts";
import { createManifestState } from "./manifest_state.ts";
import { createPreviewApi } from "./preview_api.ts";

const ACCOUNT = {
  name: "parish-7",
  keys: ["sample-key"],
  priority: 1,
  weight: 5,
  cap: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
};

/** Asks an instance whose owner has two idle workers. */
async function ask(
  question: Partial<Extract<PlacementQuestion, { kind: "job" }>>,
) {
  const bench = createBench();
  listWorkers(bench, listing("w1"), listing("w2", { rack: "r2" }));
  const configuration = createConfigurationState();
  configuration.applyIfNewer({
    version: 1,
    routes: [{
      host: "desk.example",
      prefix: "/proofs/",
      policy: policy(),
      isPublic: false,
    }],
    clientAccounts: [ACCOUNT],
    requiresKeys: true,
    maxBodyBytes: 1_000,
  });
  const moment = { steadyMs: 0, wallMs: 1_780_000_000_000 };
  const api = createPreviewApi(
    { configuration, manifest: createManifestState() },
    {
      preview: (request, queuePolicy) =>
        Promise.resolve({
          kind: "done",
          value: previewJob(bench.domain, request, queuePolicy, moment),
        }),
    },
  );
  return await api.where({
    kind: "job",
    queue: "proofs",
    steps: [step()],
    ...question,
  });
}

describe("the question where work would go", () => {
  it("is answered with the worker, the next ones and the reasons", async () => {
    assert.deepEqual(await ask({ clientAccount: "parish-7" }), {
      kind: "lines",
      lines: [
        "queue proofs of service desk for parish-7; nothing was submitted",
        "step 0 with 1 tasks would be number 1 of 1 waiting steps, " +
        "1500 ms before its latest start",
        "1 of its tasks would start on w2",
        "w1 in rack r1 scores 0.00: 8000 millicores free",
        "w2 in rack r2 scores 0.00: 8000 millicores free",
      ],
    });
  });

  it("is refused for a queue or an account that does not exist", async () => {
    const queue = await ask({ queue: "prints" });
    assert.equal(queue.kind === "problem" && queue.code, 3018);
    const account = await ask({ clientAccount: "parish-8" });
    assert.equal(account.kind === "problem" && account.code, 3019);
  });

  it("is refused for steps that come after later ones", async () => {
    const answer = await ask({ steps: [step({ after: [0] })] });
    assert.equal(answer.kind === "problem" && answer.status, 400);
  });
});
