import type * as v from "valibot";
import type { CamelCaseKeys } from "./camel_case.ts";
import type { sections } from "./sections.ts";

type Sections = typeof sections;

/** The settings of one entry instance, checked and with every default. */
export type Settings =
  & {
    [Name in keyof Sections]: CamelCaseKeys<v.InferOutput<Sections[Name]>>;
  }
  & {
    /** Bearer tokens by customer, for the product's own interface. */
    customers: Record<string, string[]>;
    /** Bearer token by operator. */
    operators: Record<string, string>;
  };
