import * as v from "valibot";
import { diagnostics } from "../../src/diagnostics/mod.ts";
import {
  type Answer,
  type Call,
  createJsonServer,
  type JsonServer,
  refuse,
} from "../base/mod.ts";
import type { WorkerAudit } from "./audit.ts";
import {
  acquire,
  checkpoint,
  release,
  renew,
  start,
  stop,
  throttle,
} from "./commands.ts";
import { noteChange, wakeWaiters } from "./journal.ts";
import { describeLease } from "./lease.ts";
import { type WorkerControl, workerControlSchema } from "./worker_control.ts";
import { type WorkerOptions, workerOptionsSchema } from "./worker_options.ts";
import {
  createWorkerState,
  LEAVING,
  stopAll,
  type WorkerState,
} from "./worker_state.ts";

/** A worker's stand-in. */
export type Worker = JsonServer<WorkerControl> & { audit(): WorkerAudit };

/**
 * Builds a worker's stand-in.
 *
 * @example
 * ```ts
 * const worker = createWorker({
 *   id: "worker-1",
 *   zone: "kigali",
 *   region: "rwanda",
 *   rack: "kigali-a",
 *   capacity: { resources, slots: 8, connections: 64 },
 * });
 * const url = await worker.listen(0);
 * ```
 */
export function createWorker(options: WorkerOptions): Worker {
  const settings = v.parse(workerOptionsSchema, options);
  const state = createWorkerState(settings);
  const audit = () => state.audit.report(describeLease(state.lease));
  const server = createJsonServer<WorkerControl>({
    seed: settings.seed,
    connections: settings.capacity.connections,
    handle: (call) => handle(state, call),
    parseControl: (body) => v.parse(workerControlSchema, body),
    control: (control) => change(state, control),
    audit,
  });
  const close = async () => {
    clearTimeout(state.leaseTimer);
    stopAll(state, "The worker ended.");
    await server.close();
  };
  return { ...server, audit, close };
}

function handle(state: WorkerState, call: Call): Promise<Answer> | Answer {
  switch (`${call.method} ${call.path}`) {
    case "POST /v1/acquire":
      return acquire(state, call.body);
    case "POST /v1/renew":
      return renew(state, call.body, call.signal);
    case "POST /v1/release":
      return release(state, call.body);
    case "POST /v1/start":
      return start(state, call.body);
    case "POST /v1/checkpoint":
      return checkpoint(state, call.body);
    case "POST /v1/throttle":
      return throttle(state, call.body);
    case "POST /v1/stop":
      return stop(state, call.body);
    default:
      return refuse(404, diagnostics.pathUnknown, [call.path]);
  }
}

function change(state: WorkerState, control: WorkerControl): void {
  state.failAll = control.failAll ?? state.failAll;
  if (control.leaving !== undefined) {
    state.leaving = control.leaving;
    noteChange(state.journal, LEAVING);
  }
  if (control.crash === true) stopAll(state, "The worker crashed.");
  wakeWaiters(state.journal);
}
