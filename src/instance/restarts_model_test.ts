import { test } from "node:test";
import { checkSchedules } from "./testing/check_schedules.ts";
import {
  arbitrarySchedule,
  STEP_KINDS_WITH_RESTARTS,
} from "./testing/model_schedule.ts";

test("schedules: what must hold holds when workers restart and forget", () => {
  checkSchedules(arbitrarySchedule(STEP_KINDS_WITH_RESTARTS), 20_265);
});
