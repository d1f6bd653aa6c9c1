import * as v from "valibot";
import type { InstanceListHost } from "../hosts/mod.ts";
import { workerAddressSchema } from "../model/mod.ts";
import { checkAnswer } from "./check_answer.ts";
import type { HttpCaller } from "./http_caller.ts";

const MEBIBYTE = 1_048_576;
const MAX_ANSWER_BYTES = 16 * MEBIBYTE;
const PEER = "instance-list";

const instanceListSchema = v.object({
  asOfMs: v.number(),
  instances: v.array(v.object({
    id: v.string(),
    zone: v.string(),
    region: v.string(),
    url: v.string(),
    leaving: v.boolean(),
  })),
  workers: v.array(v.object({
    ...workerAddressSchema.entries,
    leaving: v.boolean(),
  })),
});

/** Options of the instance list client. */
export type InstanceListClientOptions = {
  /** Base URL of the instance list service. */
  url: string;
  /** Time for a read, in milliseconds. */
  timeoutMs: number;
};

/**
 * Builds the client of the instance list's HTTP interface.
 *
 * @example
 * ```ts
 * const list = createInstanceListClient(caller, {
 *   url: "http://127.0.0.1:9001",
 *   timeoutMs: 2_000,
 * });
 * const listed = await list.read(signal);
 * ```
 */
export function createInstanceListClient(
  caller: HttpCaller,
  options: InstanceListClientOptions,
): InstanceListHost {
  return {
    async read(signal) {
      const request = {
        step: "instanceList.read",
        peer: PEER,
        method: "GET" as const,
        url: options.url,
        path: "/v1/list",
        timeoutMs: options.timeoutMs,
        maxAnswerBytes: MAX_ANSWER_BYTES,
        repeatable: true,
      };
      const answer = await caller.call(request, signal);
      return checkAnswer(request, instanceListSchema, answer);
    },
  };
}
