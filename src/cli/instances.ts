import { err, ok, type Result } from "neverthrow";
import type { Fault } from "../hosts/mod.ts";
import type { InstanceView } from "../api/mod.ts";
import type { ApiClient } from "./api_client.ts";

/** An entry instance that is asked. */
export type AskedInstance = {
  /** Id and incarnation, joined by a slash; else the address. */
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
  return status.map((first) => [
    { name: `${first.instance}/${first.incarnation}`, url: first.url },
    ...findPeers(first),
  ]);
}

/**
 * Finds the other instances that have an interface, as an instance knows them.
 *
 * @example
 * ```ts
 * const gathered = await gather(client, findPeers(status), ask);
 * ```
 */
export function findPeers({ members }: InstanceView): AskedInstance[] {
  return members.flatMap(({ address, url }) =>
    url === undefined ? [] : [{ name: address, url }]
  );
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
  const gathered = await gather(client, instances, ask);
  const [first] = gathered.unanswered;
  if (first !== undefined && gathered.answers.length === 0) {
    return err(first.fault);
  }
  return ok(gathered);
}

/**
 * Asks several instances the same at once, of which all may fail to answer.
 *
 * @example
 * ```ts
 * const gathered = await gather(client, peers, (one) => one.status());
 * ```
 */
export async function gather<Value>(
  client: ApiClient,
  instances: AskedInstance[],
  ask: (client: ApiClient) => Promise<Result<Value, Fault>>,
): Promise<Gathered<Value>> {
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
  return gathered;
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
