import type * as v from "valibot";
import type { CamelCaseKeys } from "./camel_case.ts";
import type { sections } from "./sections.ts";

type Sections = typeof sections;

/** The validated settings of an entry instance, with defaults applied. */
export type Settings =
  & {
    [Name in keyof Sections]: CamelCaseKeys<v.InferOutput<Sections[Name]>>;
  }
  & {
    /** Bearer tokens by customer name, for the product's own API. */
    customers: Record<string, string[]>;
    /** Bearer token by operator name. */
    operators: Record<string, string>;
  };
