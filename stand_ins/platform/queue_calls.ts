/**
 * Calls of a client to the queue `proofs` of a deployment.
 *
 * @module
 */
import { request } from "undici";
import type { Daemon } from "./daemon.ts";
import type { Deployment } from "./deployment.ts";

const POLL_MS = 50;
const HOST = "desk.example";
const PREFIX = "/proofs/";

/** A job of one task. */
export const SUBMISSION = JSON.stringify({
  spec: "card",
  phases: [{ count: 1, cpu: 500, mem_mb: 10, estimate_ms: 700 }],
});

/** The response to a call; its status is 0 if none arrived. */
export type QueueResponse = {
  status: number;
  body: { state?: string; pending_jobs?: number };
};

/** A configuration with one queue, at one and the same address. */
export function configurationOf(
  version: number,
  service: string,
  name = "proofs",
): object {
  return { version, routes: [{ name, host: HOST, prefix: PREFIX, service }] };
}

/**
 * Calls one instance.
 *
 * @example
 * ```ts
 * const { status } = await callQueue(instance, "POST", idOf(1));
 * ```
 */
export async function callQueue(
  { url }: Daemon,
  method: "GET" | "POST" | "DELETE",
  path: string,
  submission = SUBMISSION,
  key = "",
): Promise<QueueResponse> {
  try {
    const { statusCode, body } = await request(`${url}${PREFIX}${path}`, {
      method,
      headers: {
        host: HOST,
        ...(key === "" ? {} : { credential: key }),
      },
      ...(method === "POST" ? { body: submission } : {}),
    });
    return { status: statusCode, body: JSON.parse(await body.text()) };
  } catch {
    // The process is starting.
    return { status: 0, body: {} };
  }
}

/** Submits a job to one instance until it is accepted. */
export async function submitUntilAccepted(
  instance: Daemon,
  id: string,
  submission = SUBMISSION,
): Promise<void> {
  await waitUntil(async () =>
    (await callQueue(instance, "POST", id, submission)).status === 200
  );
}

/** Returns the tasks that the workers were told to start, in no order. */
export function startedTasks({ platform }: Deployment): string[] {
  return platform.workers.flatMap(({ started }) =>
    started.map(({ task }) => task)
  );
}

/** Returns the id of a job by its number. */
export function idOf(index: number): string {
  return index.toString(16).padStart(16, "0");
}

/** Waits for a condition; the timeout of the test ends the wait. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!await condition()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
