import * as v from "valibot";
import type { Domain } from "../domain.ts";
import { toVerdict } from "./interference.ts";
import { effectOf } from "./latency_model.ts";

/** Schema of what an owner has learned of two images on one worker. */
export const interferenceRowSchema = v.object({
  /** Image of the services; `queue NAME` for steps without an image. */
  victim: v.string(),
  /** Image of the opportunistic tasks beside them. */
  source: v.string(),
  verdict: v.picklist(["unproven", "harmful", "harmless"]),
  /** Factor of one task at full speed on the victim's tail latency. */
  factor: v.number(),
  /** Bounds of the factor, two standard deviations away. */
  atLeast: v.number(),
  atMost: v.number(),
});

/** What an owner has learned of two images on one worker. */
export type InterferenceRow = v.InferOutput<typeof interferenceRowSchema>;

/** Standard deviations from the mean to the bounds that are shown. */
const SHOWN_DEVIATIONS = 2;

/**
 * Lists the pairs that one of the images belongs to, the largest effect first.
 *
 * @param count the maximum number of pairs to list
 *
 * @example
 * ```ts
 * listInterference(domain, new Set(["viewer-4"]), 5)[0]?.factor; // 2.1
 * ```
 */
export function listInterference(
  domain: Domain,
  images: ReadonlySet<string>,
  count: number,
): InterferenceRow[] {
  const rows: InterferenceRow[] = [];
  for (const [victim, model] of domain.interference.models) {
    for (const { image: source } of model.sources) {
      if (!images.has(victim) && !images.has(source)) continue;
      const effect = effectOf(model, source)!;
      const margin = SHOWN_DEVIATIONS * effect.deviation;
      rows.push({
        victim,
        source,
        verdict: toVerdict(effect).kind,
        factor: toFactor(effect.mean),
        atLeast: toFactor(effect.mean - margin),
        atMost: toFactor(effect.mean + margin),
      });
    }
  }
  return rows.sort((left, right) => right.factor - left.factor).slice(0, count);
}

/** Converts a logarithm to a factor with two decimal places. */
function toFactor(logarithm: number): number {
  return Math.round(Math.exp(logarithm) * 100) / 100;
}
