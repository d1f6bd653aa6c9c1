import { err, ok, type Result } from "neverthrow";
import type { Fault } from "../hosts/mod.ts";
import type { Member } from "./answers/mod.ts";
import type { ApiClient } from "./api_client.ts";

/** An entry instance that is asked. */
export type AskedInstance = {
  /** Id and incarnation, joined by a slash; else the URL. */
  name: string;
  /** Base URL. */
  url: string;
};

/** What one instance answered. */
export type InstanceAnswer<Value> = { instance: AskedInstance; value: Value };

/** An instance that gave no usable answer, and why. */
export type Unanswered = { instance: AskedInstance; fault: Fault };

/** What several instances answered, in the order in which they were named. */
export type Gathered<Value> = {
  /** At least one. */
  answers: InstanceAnswer<Value>[];
  unanswered: Unanswered[];
};

/**
 * Finds all instances that should answer, the one asked first.
 *
 * @example
 * ```ts
 * const instances = await findInstances(client);
 * ```
 */
export async function findInstances(
  client: ApiClient,
): Promise<Result<AskedInstance[], Fault>> {
  const status = await client.status();
  return status.map(({ instance, incarnation, url, members }) => [
    { name: `${instance}/${incarnation}`, url },
    ...members.filter(shouldAnswer).map(toAsked),
  ]);
}

/**
 * Asks several instances the same at once.
 *
 * @example
 * ```ts
 * const gathered = await askInstances(client, instances, (one) => one.tasks());
 * ```
 *
 * @returns the first fault where none of them answers
 */
export async function askInstances<Value>(
  client: ApiClient,
  instances: AskedInstance[],
  ask: (client: ApiClient) => Promise<Result<Value, Fault>>,
): Promise<Result<Gathered<Value>, Fault>> {
  const results = await Promise.all(
    instances.map((instance) => ask(client.at(instance.url))),
  );
  const gathered: Gathered<Value> = { answers: [], unanswered: [] };
  instances.forEach((instance, index) =>
    results[index]?.match(
      (value) => gathered.answers.push({ instance, value }),
      (fault) => gathered.unanswered.push({ instance, fault }),
    )
  );
  const [first] = gathered.unanswered;
  if (first !== undefined && gathered.answers.length === 0) {
    return err(first.fault);
  }
  return ok(gathered);
}

/**
 * Asks all instances that should answer the same at once.
 *
 * @example
 * ```ts
 * const gathered = await askAllInstances(client, (one) => one.workers());
 * ```
 *
 * @returns a fault where the first instance does not name the others, or none
 * of them answers
 */
export async function askAllInstances<Value>(
  client: ApiClient,
  ask: (client: ApiClient) => Promise<Result<Value, Fault>>,
): Promise<Result<Gathered<Value>, Fault>> {
  const instances = await findInstances(client);
  if (instances.isErr()) return err(instances.error);
  return await askInstances(client, instances.value, ask);
}

/**
 * Tells whether a peer should answer: it is live, or leaving.
 *
 * @example
 * ```ts
 * const peers = status.members.filter(shouldAnswer);
 * ```
 */
export function shouldAnswer({ state }: Member): boolean {
  return state === "live" || state === "leaving";
}

function toAsked({ id, incarnation, url }: Member): AskedInstance {
  return { name: `${id}/${incarnation}`, url };
}
