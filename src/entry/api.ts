import type { ApiHost } from "../api/mod.ts";
import type { Entry } from "./entry.ts";
import { createOperatorsApi } from "./operators_api.ts";
import { createRequestsApi } from "./requests_api.ts";
import type { Running } from "./running.ts";

/** Creates what the product's own interface needs of this instance. */
export function createApi(running: Running, entry: Entry): ApiHost {
  const { customers, operators } = running.settings;
  return {
    credentials: { customers, operators },
    ...createRequestsApi(running, entry),
    ...createOperatorsApi(running, entry),
  };
}
