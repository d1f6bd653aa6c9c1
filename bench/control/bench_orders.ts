import {
  type HeardOrder,
  type HttpApi,
  type Order,
  submitOrder,
} from "../../stand_ins/local_cluster/mod.ts";
import { agreementName, TOKEN } from "./bench_manifest.ts";

/** Kinds of work of the bench; letters are durable. */
export type BenchWork = "urgent" | "letters";

const CALLERS = 16;
const PATIENCE_MS = 30_000;
const RUN_MS = 20;

/**
 * Submits orders of one task each from several callers.
 *
 * @returns how many orders ran
 */
export async function submitBenchOrders(
  api: HttpApi,
  urls: string[],
  count: number,
): Promise<number> {
  const options = { api, urls: () => urls, patienceMs: PATIENCE_MS };
  let next = 0;
  let ran = 0;
  async function runCaller(): Promise<void> {
    while (next < count) {
      const index = next;
      next += 1;
      const heard = await submitOrder(
        options,
        benchOrder(index, workOf(index)),
        index,
      );
      ran += hasRun(heard);
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  return ran;
}

/** Builds an order of one short task. */
export function benchOrder(index: number, work: BenchWork): Order {
  return {
    key: `order-${index}`,
    token: TOKEN,
    submission: {
      agreement: agreementName(0),
      work,
      tasks: [{ payload: { runMs: RUN_MS, output: `order ${index}` } }],
    },
  };
}

function workOf(index: number): BenchWork {
  return index % 2 === 0 ? "urgent" : "letters";
}

function hasRun(heard: HeardOrder): number {
  return heard.outcome?.kind === "ran" ? 1 : 0;
}
