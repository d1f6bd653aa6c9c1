import type { EntryContext } from "./entry_context.ts";

/** Returns the services named by the configuration and the manifest. */
export function servicesOf(
  context: Pick<EntryContext, "configuration" | "manifest">,
): string[] {
  const agreements = context.manifest.current()?.manifest.agreements ?? [];
  return [
    ...new Set([
      ...context.configuration.services(),
      ...agreements.flatMap(({ work }) => work.map(({ service }) => service)),
    ]),
  ];
}
