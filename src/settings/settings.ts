import type * as v from "valibot";
import type { CamelCaseKeys } from "./camel_case.ts";
import type { metricsSection, sections } from "./sections.ts";

type Sections = typeof sections;
type Section<Name extends keyof Sections> = CamelCaseKeys<
  v.InferOutput<Sections[Name]>
>;

/** The settings of one entry instance, checked and with every default. */
export type Settings = {
  instance: Section<"instance">;
  cluster:
    & Omit<Section<"cluster">, "secret" | "secretFile">
    /** The shared secret, read from its file where one is named. */
    & { secret: string };
  platform: Section<"platform">;
  lease: Section<"lease">;
  limits: Section<"limits">;
  log: Section<"log">;
  /** Bearer tokens by customer. */
  customers: Record<string, string[]>;
  /** Bearer token by operator. */
  operators: Record<string, string>;
  /** Where metrics go; absent means that none are sent. */
  metrics?: CamelCaseKeys<v.InferOutput<typeof metricsSection>>;
};
