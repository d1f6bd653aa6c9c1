import type { Running } from "./running.ts";

/** The services that the configuration and the manifest name. */
export function servicesOf(
  running: Pick<Running, "configuration" | "manifest">,
): string[] {
  const agreements = running.manifest.current()?.manifest.agreements ?? [];
  return [
    ...new Set([
      ...running.configuration.services(),
      ...agreements.flatMap(({ work }) => work.map(({ service }) => service)),
    ]),
  ];
}
