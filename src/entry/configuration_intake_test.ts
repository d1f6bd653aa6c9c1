import assert from "node:assert/strict";
import { it } from "node:test";
import { createClockHistory, currentInstant } from "../ownership/mod.ts";
import { createConfigurationState } from "./configuration.ts";
import { createConfigurationIntake } from "./configuration_intake.ts";
import { createManualClock, silentLogger } from "./testing/manual_clock.ts";

// Guards against the use of keys that a version has revoked of which the
// application failed: reads that find nothing newer seem to confirm the earlier.
it("a version of which the application failed keeps the earlier unconfirmed", async () => {
  const clock = createManualClock();
  const configuration = createConfigurationState();
  const intake = createConfigurationIntake({
    configuration,
    clocks: createClockHistory(clock),
    logger: silentLogger,
    decode: ({ value }) => {
      if (value === "2") throw new Error("odd record");
      const version = Number(value);
      return {
        configuration: {
          version,
          routes: [],
          maxBodyBytes: 0,
          clientAccounts: [],
          requiresKeys: false,
        },
      };
    },
    onApplied() {},
  });
  const read = (...values: string[]) => {
    const sentAt = currentInstant(clock);
    intake.apply(values.map((value) => ({ key: "config", value })));
    intake.confirm(sentAt);
  };
  read("1");
  assert.equal(intake.ageMs(), 0);
  assert.throws(() => read("2"));
  await clock.sleep(1_000, new AbortController().signal);
  read();
  assert.equal(intake.ageMs(), 1_000);
  read("3");
  assert.equal(intake.ageMs(), 0);
  assert.equal(configuration.current()?.version, 3);
});
