import type { ApiHost } from "../api/mod.ts";
import type { CallRouter } from "./call_router.ts";
import { createOperatorsApi } from "./operators_api.ts";
import { createPreviewApi } from "./preview_api.ts";
import { createRequestsApi } from "./requests_api.ts";
import type { EntryContext } from "./entry_context.ts";

/** Creates the operations of this instance that the product's own API serves. */
export function createApiHost(
  context: EntryContext,
  router: CallRouter,
): ApiHost {
  const { customers, operators } = context.settings;
  return {
    credentials: { customers, operators },
    ...createRequestsApi(context, router),
    ...createOperatorsApi(context, router),
    ...createPreviewApi(context, router),
  };
}
