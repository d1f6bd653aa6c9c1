/**
 * Runs flows: resumes each with the results of its effects, and collects the
 * commands for the driver. Flows never interrupt each other; what a flow
 * spawns or notifies is resumed after it has yielded.
 *
 * @module
 */
import type { Flow } from "./flow.ts";
import type { SchedulerCommand } from "./scheduler_command.ts";

type WaitingFlow = { flow: Flow<void>; topic: string | undefined };
type ReadyFlow = { flow: Flow<void>; result: unknown };

/** The flows of a scheduler and what they wait for. */
export type Runner = {
  nextNumber: number;
  waiting: Map<number, WaitingFlow>;
  topics: Map<string, Set<number>>;
  ready: ReadyFlow[];
  commands: SchedulerCommand[];
};

/**
 * Creates a runner without flows.
 *
 * @example
 * ```ts
 * const runner = createRunner();
 * spawn(runner, someFlow());
 * const commands = drain(runner);
 * ```
 */
export function createRunner(): Runner {
  return {
    nextNumber: 1,
    waiting: new Map(),
    topics: new Map(),
    ready: [],
    commands: [],
  };
}

/**
 * Adds a flow, which begins at the next {@linkcode drain}.
 *
 * @example
 * ```ts
 * spawn(runner, renewLease(worker));
 * ```
 */
export function spawn(runner: Runner, flow: Flow<void>): void {
  runner.ready.push({ flow, result: undefined });
}

/**
 * Gives a flow the result of its effect. A number that nobody waits for is
 * ignored, since a notice may have come first.
 *
 * @example
 * ```ts
 * complete(runner, event.effect, event.result);
 * ```
 */
export function complete(
  runner: Runner,
  number: number,
  result: unknown,
): void {
  const waiting = takeWaiting(runner, number);
  if (waiting === undefined) return;
  runner.ready.push({ flow: waiting.flow, result });
}

/**
 * Resumes every flow that waits for a notice on the topic, with `true`.
 *
 * @example
 * ```ts
 * notify(runner, `request:${id}`);
 * ```
 */
export function notify(runner: Runner, topic: string): void {
  const numbers = runner.topics.get(topic);
  if (numbers === undefined) return;
  for (const number of [...numbers]) {
    runner.commands.push({ kind: "abandon", number });
    complete(runner, number, true);
  }
}

/**
 * Runs every flow that can go on, and returns the commands that came up.
 *
 * @example
 * ```ts
 * for (const command of drain(runner)) perform(command);
 * ```
 */
export function drain(runner: Runner): SchedulerCommand[] {
  for (
    let next = runner.ready.shift();
    next !== undefined;
    next = runner.ready.shift()
  ) {
    resume(runner, next);
  }
  return runner.commands.splice(0);
}

function resume(runner: Runner, ready: ReadyFlow): void {
  const step = ready.flow.next(ready.result);
  if (step.done) return;
  const effect = step.value;
  const number = runner.nextNumber++;
  const topic = effect.kind === "notice" ? effect.topic : undefined;
  runner.waiting.set(number, { flow: ready.flow, topic });
  if (topic !== undefined) addToTopic(runner, topic, number);
  runner.commands.push({ kind: "perform", number, effect });
}

function takeWaiting(
  runner: Runner,
  number: number,
): WaitingFlow | undefined {
  const waiting = runner.waiting.get(number);
  if (waiting === undefined) return undefined;
  runner.waiting.delete(number);
  if (waiting.topic !== undefined) {
    removeFromTopic(runner, waiting.topic, number);
  }
  return waiting;
}

function addToTopic(runner: Runner, topic: string, number: number): void {
  const numbers = runner.topics.get(topic);
  if (numbers === undefined) runner.topics.set(topic, new Set([number]));
  else numbers.add(number);
}

function removeFromTopic(runner: Runner, topic: string, number: number): void {
  const numbers = runner.topics.get(topic);
  numbers?.delete(number);
  if (numbers?.size === 0) runner.topics.delete(topic);
}
