/**
 * Answers the messages of other entry instances.
 *
 * @module
 */
import { assertNever } from "../base/mod.ts";
import { type HeartbeatFrame, isBarred } from "../membership/mod.ts";
import type { Task } from "../model/mod.ts";
import { withdrawForPeer } from "./cancel_flow.ts";
import type { Flow } from "./flow.ts";
import { lookUpHere } from "./lookups.ts";
import { answerHeartbeat } from "./membership_flow.ts";
import type {
  Acceptance,
  LookupAnswer,
  ManifestAnswer,
  PeerMessage,
} from "./peer_message.ts";
import { cancel, read } from "./read_flow.ts";
import { applySighting } from "./recovery_flow.ts";
import type { RequestEntry } from "./request_entry.ts";
import { enterRequest, enterTask } from "./requests.ts";
import { queueTasks } from "./task_queue.ts";
import {
  isSelf,
  keepCopy,
  note,
  type Scheduler,
  selfHolder,
} from "./scheduler.ts";
import { submit } from "./submit_flow.ts";
import type { CallAnswer } from "./view.ts";

/** What a peer is answered. */
export type PeerAnswer =
  | HeartbeatFrame
  | CallAnswer
  | LookupAnswer
  | Acceptance
  | ManifestAnswer;

type Move = Extract<PeerMessage, { kind: "move" }>;
type Report = Extract<PeerMessage, { kind: "report" }>;

/** Answers one message of a peer. */
export function* answerPeer(
  scheduler: Scheduler,
  message: PeerMessage,
): Flow<PeerAnswer> {
  switch (message.kind) {
    case "heartbeat":
      return answerHeartbeat(scheduler, message.sender, message.frame);
    case "submit":
      return yield* submit(
        scheduler,
        message.customer,
        message.requestId,
        message.submission,
        message.waitMs,
        true,
      );
    case "read": {
      const { customer, requestId, waitMs } = message;
      return yield* read(scheduler, customer, requestId, waitMs, true);
    }
    case "cancel":
      return yield* cancel(
        scheduler,
        message.customer,
        message.requestId,
        true,
      );
    case "lookup":
      return lookUpHere(scheduler, message.requestId, message.taskIds);
    case "move":
      return takeMove(scheduler, message);
    case "report":
      return takeReport(scheduler, message);
    case "withdraw":
      withdrawForPeer(scheduler, message.taskIds);
      return { accepted: true };
    case "copy":
      keepCopy(scheduler, message.request);
      return { accepted: true };
    case "manifest":
      return manifestAfter(scheduler, message.afterVersion);
    default:
      return assertNever(message);
  }
}

/**
 * Takes over tasks for a peer. A barred peer gets nothing taken over, since
 * others may already have said that its requests did not run. A move that
 * comes again, or late, changes nothing.
 */
function takeMove(scheduler: Scheduler, move: Move): Acceptance {
  const { membership } = scheduler;
  if (!isSelf(scheduler, move.to)) return { accepted: false, stranger: true };
  const known = scheduler.requests.get(move.request.id);
  const taken = known?.role === "guest" ? known : undefined;
  const tasks = move.tasks.filter((task) => !hasTaken(taken, task, move.epoch));
  if (tasks.length === 0) return { accepted: true };
  if (isBarred(membership, move.from)) return { accepted: false };
  if (isBarred(membership, move.home)) return { accepted: false };
  if (known?.role === "home") return { accepted: false };
  if (scheduler.draining) return { accepted: false };
  if (move.to !== selfHolder(scheduler)) return { accepted: false };
  const entry = known ??
    enterRequest(scheduler, move.request, [], "guest", move.home, "none");
  entry.home = move.home;
  entry.moveEpoch = Math.max(entry.moveEpoch, move.epoch);
  entry.cancelled = false;
  entry.outcome = undefined;
  entry.endedAtMs = undefined;
  note(scheduler, "request.taken", move.request.id);
  const entered = tasks.map((task) => enterTask(entry, task));
  for (const task of entered) task.moveEpoch = move.epoch;
  queueTasks(scheduler, entry, entered);
  return { accepted: true };
}

/** Tells whether a guest got a task by this move or a later one. */
function hasTaken(
  entry: RequestEntry | undefined,
  task: Task,
  epoch: number,
): boolean {
  const known = entry?.tasks.get(task.index);
  return known !== undefined && known.moveEpoch >= epoch;
}

function takeReport(scheduler: Scheduler, report: Report): Acceptance {
  for (const update of report.updates) {
    applySighting(scheduler, report.from, update);
  }
  return { accepted: true };
}

function manifestAfter(
  scheduler: Scheduler,
  afterVersion: number,
): ManifestAnswer {
  const { version, inForce } = scheduler.log;
  if (version <= afterVersion || inForce === undefined) return { version };
  return { version, entry: inForce };
}
