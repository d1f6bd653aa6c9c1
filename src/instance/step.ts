/**
 * The reducer of an entry instance: puts one event in, and returns the
 * commands that follow.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import { adoptRequests } from "./adoption_flow.ts";
import type { Call } from "./call.ts";
import { drainInstance } from "./drain_flow.ts";
import type { Flow } from "./flow.ts";
import { forgetOld, tellOfPeers, tickPlacement } from "./housekeeping_flow.ts";
import { followList } from "./list_flow.ts";
import { followLog, followPeerManifests } from "./log_flow.ts";
import { keepMembership } from "./membership_flow.ts";
import { answerPeer } from "./peer_flow.ts";
import { publish } from "./publish_flow.ts";
import { cancel, read } from "./read_flow.ts";
import { recoverTasks } from "./recovery_flow.ts";
import { complete, drain, notify, spawn } from "./runner.ts";
import type { Scheduler } from "./scheduler.ts";
import type { SchedulerCommand } from "./scheduler_command.ts";
import type { Moment, SchedulerEvent } from "./scheduler_event.ts";
import { keepShares } from "./share_flow.ts";
import { issue, submit, submitKeyed } from "./submit_flow.ts";
import { OWNERSHIP_TOPIC } from "./topics.ts";
import { recordUsage } from "./usage_flow.ts";

/**
 * Puts one event into a scheduler.
 *
 * @example
 * ```ts
 * const commands = step(scheduler, { kind: "started" }, {
 *   steadyMs: clock.steadyMs(),
 *   wallMs: clock.nowMs(),
 * });
 * ```
 *
 * @returns the commands that the driver has to carry out
 */
export function step(
  scheduler: Scheduler,
  event: SchedulerEvent,
  moment: Moment,
): SchedulerCommand[] {
  scheduler.moment = moment;
  switch (event.kind) {
    case "started":
      startFlows(scheduler);
      break;
    case "completed":
      complete(scheduler.runner, event.effect, event.result);
      break;
    case "called":
      spawn(scheduler.runner, answer(scheduler, event.id, event.call));
      break;
    case "draining":
      if (scheduler.draining) break;
      scheduler.draining = true;
      spawn(scheduler.runner, drainInstance(scheduler));
      notify(scheduler.runner, OWNERSHIP_TOPIC);
      break;
    default:
      assertNever(event);
  }
  return drain(scheduler.runner);
}

function startFlows(scheduler: Scheduler): void {
  const flows = [
    keepMembership(scheduler),
    followList(scheduler),
    followLog(scheduler),
    followPeerManifests(scheduler),
    recoverTasks(scheduler),
    adoptRequests(scheduler),
    recordUsage(scheduler),
    tickPlacement(scheduler),
    tellOfPeers(scheduler),
    keepShares(scheduler),
    forgetOld(scheduler),
  ];
  for (const flow of flows) spawn(scheduler.runner, flow);
}

function* answer(scheduler: Scheduler, id: number, call: Call): Flow<void> {
  const result = yield* answerCall(scheduler, call);
  scheduler.runner.commands.push({ kind: "answer", id, answer: result });
}

function* answerCall(scheduler: Scheduler, call: Call): Flow<unknown> {
  switch (call.kind) {
    case "issue":
      return issue(scheduler, call.customer);
    case "submit":
      return yield* submit(
        scheduler,
        call.customer,
        call.requestId,
        call.submission,
        call.waitMs,
        false,
      );
    case "submitKeyed":
      return yield* submitKeyed(
        scheduler,
        call.customer,
        call.key,
        call.submission,
        call.waitMs,
      );
    case "read": {
      const { customer, requestId, waitMs } = call;
      return yield* read(scheduler, customer, requestId, waitMs, false);
    }
    case "cancel":
      return yield* cancel(scheduler, call.customer, call.requestId, false);
    case "publish":
      return yield* publish(
        scheduler,
        call.author,
        call.changeId,
        call.baseVersion,
        call.manifest,
      );
    case "peer":
      return yield* answerPeer(scheduler, call.message);
    default:
      return assertNever(call);
  }
}
