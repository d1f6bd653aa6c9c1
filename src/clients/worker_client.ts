import type { Result } from "neverthrow";
import * as v from "valibot";
import { diagnostics } from "../diagnostics/mod.ts";
import type { CurrentLease, Fault, WorkerHost } from "../hosts/mod.ts";
import {
  acquisitionSchema,
  renewalSchema,
  taskRecordSchema,
  type WorkerAddress,
} from "../model/mod.ts";
import { checkAnswer } from "./check_answer.ts";
import type { HttpCaller } from "./http_caller.ts";

const MEBIBYTE = 1_048_576;
const MAX_ANSWER_BYTES = 16 * MEBIBYTE;

const currentLeaseSchema: v.GenericSchema<unknown, CurrentLease> = v.object({
  token: v.number(),
  holder: v.string(),
  lapsed: v.boolean(),
});

const yieldedSchema = v.object({ record: v.optional(taskRecordSchema) });

/** Options of the worker client. */
export type WorkerClientOptions = {
  /** Time for a command, in milliseconds. */
  commandTimeoutMs: number;
  /** Time for a renewal beyond the wait that it asks for, in milliseconds. */
  renewMarginMs: number;
};

type WorkerCall = {
  worker: WorkerAddress;
  name: string;
  body: unknown;
  timeoutMs: number;
  repeatable: boolean;
};

/**
 * Builds the client of the workers' HTTP interface.
 *
 * @example
 * ```ts
 * const workers = createWorkerClient(caller, {
 *   commandTimeoutMs: 2_000,
 *   renewMarginMs: 1_000,
 * });
 * const started = await workers.start(worker, token, task, signal);
 * ```
 */
export function createWorkerClient(
  caller: HttpCaller,
  options: WorkerClientOptions,
): WorkerHost {
  const { commandTimeoutMs: timeoutMs, renewMarginMs } = options;

  async function send<Value>(
    call: WorkerCall,
    schema: v.GenericSchema<unknown, Value>,
    signal: AbortSignal,
  ): Promise<Result<Value, Fault>> {
    const request = {
      step: `worker.${call.name}`,
      peer: call.worker.id,
      method: "POST" as const,
      url: call.worker.url,
      path: `/v1/${call.name}`,
      body: call.body,
      timeoutMs: call.timeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      repeatable: call.repeatable,
    };
    const answer = await caller.call(request, signal);
    return checkAnswer(request, schema, answer).mapErr(checkLeaseData);
  }

  return {
    acquire(worker, command, signal) {
      const call = { worker, name: "acquire", body: command, timeoutMs };
      return send({ ...call, repeatable: false }, acquisitionSchema, signal);
    },
    renew(worker, command, signal) {
      const call = { worker, name: "renew", body: command };
      const waitMs = command.waitMs + renewMarginMs;
      const timing = { timeoutMs: waitMs, repeatable: true };
      return send({ ...call, ...timing }, renewalSchema, signal);
    },
    release(worker, token, signal) {
      const call = { worker, name: "release", body: { token }, timeoutMs };
      return send({ ...call, repeatable: false }, v.undefined(), signal);
    },
    start(worker, token, task, signal) {
      const call = { worker, name: "start", body: { token, task }, timeoutMs };
      return send({ ...call, repeatable: false }, taskRecordSchema, signal);
    },
    async yieldTask(worker, token, taskId, yielding, signal) {
      const body = { token, taskId };
      const call = { worker, name: yielding, body, timeoutMs };
      const sending = { ...call, repeatable: false };
      const yielded = await send(sending, yieldedSchema, signal);
      return yielded.map(({ record }) => record);
    },
  };
}

/** Drops the data of a stale token unless it is a lease. */
function checkLeaseData(fault: Fault): Fault {
  if (fault.code !== diagnostics.tokenStale.code) return fault;
  const parsed = v.safeParse(currentLeaseSchema, fault.data);
  const { data: _data, ...rest } = fault;
  return parsed.success ? { ...rest, data: parsed.output } : rest;
}
