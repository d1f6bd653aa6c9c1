/**
 * Calls to simulated workers over a simulated network: calls are held up while a
 * worker is down or cut off, get lost, or are carried out late, also by the next
 * incarnation of the worker.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { err, ok, type Result } from "neverthrow";
import {
  COMMAND_PATHS,
  findRunRecord,
  handleCommand,
  heartbeatCommand,
  startOrStopCommand,
} from "../../../stand_ins/platform/worker.ts";
import type {
  PollAnswer,
  StartOutcome,
  TaskFault,
  TaskHost,
  WorkerTarget,
} from "../../hosts/mod.ts";
import type { RestartModel, SimulatedWorker } from "./restart_model.ts";

const COMMAND_TIMEOUT_MS = 450;
const POLL_MARGIN_MS = 600;
const MAX_DELAY_MS = 25;
const CHECK_INTERVAL_MS = 20;
/** A call that is carried out late is so by this, in milliseconds. */
const LATE_MS = { least: 200, most: 12_000 };

/** What has left goes on also if its sender is lost. */
const UNENDING = new AbortController().signal;
setMaxListeners(0, UNENDING);

type Command = Parameters<typeof handleCommand>[2];
type Answer = { status: number; body: Record<string, unknown> };

/** Creates the calls to the workers of a simulation. */
export function createSimulatedTasks(model: RestartModel): TaskHost {
  return {
    async poll(target, { acknowledged, leaseUntilMs, waitMs }, signal) {
      const command = heartbeatCommand({
        epoch: target.fence,
        leaseUntilMs,
        acknowledged,
      });
      const path = COMMAND_PATHS.heartbeat;
      const timeoutMs = waitMs + POLL_MARGIN_MS;
      const request = { path, command, waitMs, timeoutMs };
      const answer = await call(model, target, request, signal);
      return answer.map(({ body }) => toPollAnswer(body));
    },
    async start(target, { task, attempt, leaseUntilMs }, signal) {
      const command = startOrStopCommand({
        task,
        attempt,
        epoch: target.fence,
        leaseUntilMs,
      });
      const path = COMMAND_PATHS.start;
      const timeoutMs = COMMAND_TIMEOUT_MS;
      const request = { path, command, waitMs: 0, timeoutMs };
      const answer = await call(model, target, request, signal);
      return answer.map(toStartOutcome);
    },
    async stop(target, task, attempt, signal) {
      const command = startOrStopCommand({
        task,
        attempt,
        epoch: target.fence,
        leaseUntilMs: undefined,
      });
      const path = COMMAND_PATHS.stop;
      const timeoutMs = COMMAND_TIMEOUT_MS;
      const request = { path, command, waitMs: 0, timeoutMs };
      const answer = await call(model, target, request, signal);
      return answer.map(() => undefined);
    },
    pace: () => Promise.resolve(ok(undefined)),
  };
}

type Request = {
  path: string;
  command: Command;
  waitMs: number;
  timeoutMs: number;
};

async function call(
  model: RestartModel,
  target: WorkerTarget,
  request: Request,
  signal: AbortSignal,
): Promise<Result<Answer, TaskFault>> {
  const { clock, random, workers, faults, isDisturbed } = model;
  const simulated = workers.get(target.id)!;
  const expiresAtMs = clock.steadyMs() + request.timeoutMs;
  const noAnswer = async () => {
    await clock.sleep(expiresAtMs - clock.steadyMs(), signal);
    return err(fault("unknown", target, request));
  };
  if (isDisturbed && random.integer(1, faults.lateCallOdds) === 1) {
    void carryOutLate(model, simulated, request);
    return await noAnswer();
  }
  await clock.sleep(random.integer(1, MAX_DELAY_MS), UNENDING);
  while (simulated.isDown || simulated.isCut) {
    if (clock.steadyMs() >= expiresAtMs) return await noAnswer();
    await clock.sleep(CHECK_INTERVAL_MS, UNENDING);
  }
  const { worker } = simulated;
  const first = carryOut(model, simulated, request);
  const answerAtMs = clock.steadyMs() + request.waitMs;
  let answer = first;
  while (worker.endedRuns.length === 0 && clock.steadyMs() < answerAtMs) {
    await clock.sleep(CHECK_INTERVAL_MS, UNENDING);
  }
  if (simulated.worker !== worker || simulated.isDown) return await noAnswer();
  if (request.waitMs > 0 && first.status === 200) {
    // The lease and the acknowledgement counted from the arrival.
    const look = heartbeatCommand({
      epoch: worker.fence,
      leaseUntilMs: undefined,
      acknowledged: 0,
    });
    const nowMs = clock.steadyMs();
    answer = handleCommand(worker, request.path, look, nowMs) as Answer;
  }
  await clock.sleep(random.integer(1, MAX_DELAY_MS), UNENDING);
  const isLost = simulated.isCut || clock.steadyMs() > expiresAtMs;
  if (isLost) return await noAnswer();
  const { status, body } = answer;
  if (status === 409 && body.reason === "fence") {
    return err(fault("fenced", target, request));
  }
  return ok(answer);
}

/**
 * Carries a call out later, by the incarnation that is up then. Left out is a
 * later incarnation that no other call has reached: it would carry out a start
 * whose task has ended elsewhere, and no owner can prevent that.
 */
async function carryOutLate(
  model: RestartModel,
  simulated: SimulatedWorker,
  request: Request,
): Promise<void> {
  const { clock, random } = model;
  const { bornMs } = simulated.worker;
  await clock.sleep(random.integer(LATE_MS.least, LATE_MS.most), UNENDING);
  const { worker, isDown } = simulated;
  const isUntouched = worker.bornMs !== bornMs && worker.fence === 0;
  if (!isDown && !isUntouched) carryOut(model, simulated, request);
}

function carryOut(
  model: RestartModel,
  { worker, lapsedAtMs }: SimulatedWorker,
  { path, command }: Request,
): Answer {
  const nowMs = model.clock.steadyMs();
  const before = new Map(worker.endedRuns.map((end) => [end[0], end]));
  const answer = handleCommand(worker, path, command, nowMs);
  for (const [number] of worker.endedRuns) before.delete(number);
  for (const [, task, attempt, end] of before.values()) {
    if (end !== "done" || model.acknowledgedRuns.has(task)) continue;
    const run = findRunRecord(worker, task, attempt);
    // The task may have been started elsewhere before the end was known.
    if (run === undefined || lapsedAtMs >= (run.endedAtMs ?? 0)) continue;
    model.acknowledgedRuns.set(task, run);
  }
  return answer as Answer;
}

function fault(
  kind: TaskFault["kind"],
  { id }: WorkerTarget,
  { path }: Request,
): TaskFault {
  return { kind, step: path, peer: id, message: kind };
}

type ListedEnd = [
  number,
  string,
  number,
  PollAnswer["ended"][0]["end"],
  string,
];

function toPollAnswer(body: Record<string, unknown>): PollAnswer {
  const running = body.running as [string, number, string, number][];
  const finished = body.finished as ListedEnd[];
  return {
    clockMs: body.clock_ms as number,
    bornMs: body.born as number,
    running: running.map(([task, attempt, checkpoint, percent]) => ({
      task,
      attempt,
      checkpoint,
      percent,
      reading: 0,
    })),
    ended: finished.map(([number, task, attempt, end, checkpoint]) => ({
      number,
      task,
      attempt,
      end,
      checkpoint,
    })),
  };
}

function toStartOutcome({ status, body }: Answer): StartOutcome {
  const clockMs = body.clock_ms as number;
  if (status === 200) return { kind: "accepted", clockMs };
  if (body.reason === "old") return { kind: "superseded", clockMs };
  return { kind: "rejected", cause: "late", clockMs };
}
