import { err, ok, type Result } from "neverthrow";
import type { Fault } from "../hosts/mod.ts";
import type { InstanceView } from "../api/mod.ts";
import type { ApiClient } from "./api_client.ts";

/** The name and URL of an entry instance. */
export type InstanceEndpoint = {
  /** `id/incarnation`; the address or URL if only that is known. */
  name: string;
  /** Base URL. */
  url: string;
};

/** The response of one instance. */
export type InstanceResponse<Value> = {
  instance: InstanceEndpoint;
  value: Value;
};

/** An instance that sent no valid response, and the fault of the call. */
export type UnansweredInstance = { instance: InstanceEndpoint; fault: Fault };

/** The responses of several instances, in the order of the instances. */
export type GatheredResponses<Value> = {
  responses: InstanceResponse<Value>[];
  unanswered: UnansweredInstance[];
};

/**
 * Lists the instance that the client calls and its peers, in this order.
 *
 * @example
 * ```ts
 * const instances = await listInstances(client);
 * ```
 */
export async function listInstances(
  client: ApiClient,
): Promise<Result<InstanceEndpoint[], Fault>> {
  const status = await client.status();
  return status.map((first) => [
    { name: `${first.instance}/${first.incarnation}`, url: first.url },
    ...listPeers(first),
  ]);
}

/**
 * Lists the peers in an instance's status that serve the HTTP API.
 *
 * @example
 * ```ts
 * const gathered = await gatherResponses(client, listPeers(status), call);
 * ```
 */
export function listPeers({ members }: InstanceView): InstanceEndpoint[] {
  return members.flatMap(({ address, url }) =>
    url === undefined ? [] : [{ name: address, url }]
  );
}

/**
 * Makes the same call to several instances in parallel.
 *
 * @example
 * ```ts
 * const tasks = await callInstances(client, instances, (one) => one.tasks());
 * ```
 *
 * @returns the responses, or the first fault if all calls failed
 */
export async function callInstances<Value>(
  client: ApiClient,
  instances: InstanceEndpoint[],
  call: (client: ApiClient) => Promise<Result<Value, Fault>>,
): Promise<Result<GatheredResponses<Value>, Fault>> {
  const gathered = await gatherResponses(client, instances, call);
  const [first] = gathered.unanswered;
  if (first !== undefined && gathered.responses.length === 0) {
    return err(first.fault);
  }
  return ok(gathered);
}

/**
 * Makes the same call to several instances in parallel. Failed calls are part
 * of the result, even if all of them fail.
 *
 * @example
 * ```ts
 * const statuses = await gatherResponses(client, peers, (one) => one.status());
 * ```
 */
export async function gatherResponses<Value>(
  client: ApiClient,
  instances: InstanceEndpoint[],
  call: (client: ApiClient) => Promise<Result<Value, Fault>>,
): Promise<GatheredResponses<Value>> {
  const results = await Promise.all(
    instances.map((instance) => call(client.at(instance.url))),
  );
  const gathered: GatheredResponses<Value> = { responses: [], unanswered: [] };
  instances.forEach((instance, index) =>
    results[index]?.match(
      (value) => gathered.responses.push({ instance, value }),
      (fault) => gathered.unanswered.push({ instance, fault }),
    )
  );
  return gathered;
}

/**
 * Makes the same call to an instance and all of its peers in parallel.
 *
 * @example
 * ```ts
 * const workers = await callAllInstances(client, (one) => one.workers());
 * ```
 *
 * @returns the responses, or a fault if the list of peers cannot be read or
 * all calls failed
 */
export async function callAllInstances<Value>(
  client: ApiClient,
  call: (client: ApiClient) => Promise<Result<Value, Fault>>,
): Promise<Result<GatheredResponses<Value>, Fault>> {
  const instances = await listInstances(client);
  if (instances.isErr()) return err(instances.error);
  return await callInstances(client, instances.value, call);
}
