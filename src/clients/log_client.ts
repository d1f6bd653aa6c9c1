import * as v from "valibot";
import type { LogHost } from "../hosts/mod.ts";
import { checkAnswer } from "./check_answer.ts";
import type { HttpCaller } from "./http_caller.ts";

const MEBIBYTE = 1_048_576;
const MAX_ANSWER_BYTES = 16 * MEBIBYTE;
const PEER = "log";

const appendedSchema = v.object({ offset: v.number() });

const logPageSchema = v.object({
  entries: v.array(v.object({
    offset: v.number(),
    atMs: v.number(),
    data: v.unknown(),
  })),
  firstOffset: v.number(),
  nextOffset: v.number(),
});

/** Options of the log client. */
export type LogClientOptions = {
  /** Base URL of the log service. */
  url: string;
  /** Time for an append, in milliseconds. */
  appendTimeoutMs: number;
  /** Time for a read beyond the wait that it asks for, in milliseconds. */
  readMarginMs: number;
};

/**
 * Builds the client of the log service's HTTP interface.
 *
 * @example
 * ```ts
 * const log = createLogClient(caller, {
 *   url: "http://127.0.0.1:9000",
 *   appendTimeoutMs: 2_000,
 *   readMarginMs: 2_000,
 * });
 * const offset = await log.append([record], signal);
 * ```
 */
export function createLogClient(
  caller: HttpCaller,
  options: LogClientOptions,
): LogHost {
  const { url, appendTimeoutMs, readMarginMs } = options;
  const common = { peer: PEER, url, maxAnswerBytes: MAX_ANSWER_BYTES };
  return {
    async append(data, signal) {
      const request = {
        ...common,
        step: "log.append",
        method: "POST" as const,
        path: "/v1/append",
        body: { data },
        timeoutMs: appendTimeoutMs,
        repeatable: false,
      };
      const answer = await caller.call(request, signal);
      return checkAnswer(request, appendedSchema, answer)
        .map(({ offset }) => offset);
    },
    async read(fromOffset, waitMs, signal) {
      const request = {
        ...common,
        step: "log.read",
        method: "GET" as const,
        path: `/v1/read?from=${fromOffset}&waitMs=${waitMs}`,
        timeoutMs: waitMs + readMarginMs,
        repeatable: true,
      };
      const answer = await caller.call(request, signal);
      return checkAnswer(request, logPageSchema, answer);
    },
  };
}
