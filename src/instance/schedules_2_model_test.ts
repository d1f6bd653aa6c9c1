import { test } from "node:test";
import { checkSchedules } from "./testing/check_schedules.ts";
import { arbitrarySchedule, STEP_KINDS } from "./testing/model_schedule.ts";

test("schedules 2: what must hold holds under every failure", () => {
  checkSchedules(arbitrarySchedule(STEP_KINDS), 20_262);
});
