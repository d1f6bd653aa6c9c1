import assert from "node:assert/strict";
import { it } from "node:test";
import { policy } from "../domain/testing/domain_bench.ts";
import { createConfigurationState } from "./configuration.ts";

const ADDRESS = "desk.example/proofs/";

function configurationOf(version: number, service: string) {
  const route = { host: "desk.example", prefix: "/proofs/" };
  const routes = [{ ...route, policy: { ...policy(), service } }];
  return { version, routes, maxBodyBytes: 1_000 };
}

it("a configuration that was not read ends the time without a move", () => {
  const state = createConfigurationState();
  const since = (service: string) =>
    state.assignedSince(policy().queue, service, ADDRESS);
  state.applyIfNewer(configurationOf(1, "press"));
  state.applyIfNewer(configurationOf(4, "press"), true);
  assert.equal(since("press"), 1);
  state.applyIfNewer(configurationOf(5, "desk"), true);
  assert.equal(since("press"), undefined);
  assert.equal(since("desk"), 5);
  state.applyIfNewer(configurationOf(7, "press"), true);
  assert.equal(since("press"), 7);
  state.applyIfNewer(configurationOf(9, "press"));
  assert.equal(since("press"), 9);
});
