import type { Credentials } from "../../server/mod.ts";
import type { ApiHost } from "../api_host.ts";
import type { ApiResponse } from "../api_response.ts";
import type { InstanceView } from "../instance_view.ts";

/** An API host without data, which records the changes requested from it. */
export type FakeApiHost = ApiHost & { changes: string[] };

const STATUS: InstanceView = {
  instance: "kigali-1",
  incarnation: "i4",
  zone: "kigali",
  address: "127.0.0.1:1",
  url: "",
  ready: true,
  version: -1,
  members: [],
  domains: [],
  leaving: false,
};

/**
 * Creates an API host without requests, workers or a manifest.
 *
 * @example
 * ```ts
 * const host = createFakeApiHost(credentials);
 * ```
 */
export function createFakeApiHost(credentials: Credentials): FakeApiHost {
  const changes: string[] = [];
  const recordChange = (
    change: string,
    response: ApiResponse,
  ): Promise<ApiResponse> => {
    changes.push(change);
    return Promise.resolve(response);
  };
  const view = (id: string): ApiResponse => ({
    kind: "view",
    view: { id, outcome: { kind: "didNotRun", code: 0, cause: "" }, tasks: [] },
  });
  return {
    changes,
    credentials,
    submit: (customer, id) =>
      recordChange(`${customer} submits ${id}`, view(id)),
    read: (_customer, id) => Promise.resolve(view(id)),
    cancel: (customer, id) =>
      recordChange(`${customer} cancels ${id}`, view(id)),
    list: () => Promise.resolve([]),
    status: () => Promise.resolve(STATUS),
    workers: () => Promise.resolve([]),
    tasks: () => Promise.resolve([]),
    explain: () => Promise.resolve([]),
    where: () => Promise.resolve({ kind: "lines", lines: [] }),
    manifest: () => undefined,
    history: () => Promise.resolve([]),
    publish: ({ author, baseVersion }) =>
      recordChange(`${author} publishes on ${baseVersion}`, {
        kind: "published",
        version: baseVersion + 1,
      }),
    account: () => Promise.reject(new Error("There is no account.")),
    timeLine: () => ({ events: [], last: 0 }),
    stop: () => void changes.push("stops"),
  };
}
