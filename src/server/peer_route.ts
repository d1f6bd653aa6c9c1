/**
 * The interface for other entry instances: JSON-RPC 2.0 on `/rpc`.
 *
 * @module
 */
import { createJSONRPCErrorResponse, JSONRPCServer } from "json-rpc-2.0";
import * as v from "valibot";
import {
  type Call,
  type PeerMessage,
  peerMessageSchema,
  type Scheduler,
} from "../instance/mod.ts";
import { observeLamport } from "../time_line/mod.ts";
import { checkPeer, type Credentials } from "./authentication.ts";
import type { Route } from "./route.ts";

const OK = 200;
const INVALID_PARAMS = -32_602;

/** What the interface for peers needs. */
export type PeerRouteHost = {
  scheduler: Scheduler;
  credentials: Credentials;
  call(call: Call): Promise<unknown>;
};

const paramsSchema = v.object({
  /** Lamport clock of the sender. */
  lamport: v.number(),
  message: peerMessageSchema,
});

const MESSAGE_KINDS: PeerMessage["kind"][] = [
  "heartbeat",
  "submit",
  "read",
  "cancel",
  "lookup",
  "move",
  "report",
  "withdraw",
  "copy",
  "manifest",
];

/** Creates the route for peers. */
export function createPeerRoute(host: PeerRouteHost): Route {
  const server = new JSONRPCServer({ errorListener: () => {} });
  for (const kind of MESSAGE_KINDS) {
    server.addMethodAdvanced(kind, async (request) => {
      const id = request.id ?? null;
      const parsed = v.safeParse(paramsSchema, request.params);
      if (!parsed.success || parsed.output.message.kind !== kind) {
        const cause = parsed.success
          ? "the kind differs from the method"
          : parsed.issues[0].message;
        return createJSONRPCErrorResponse(id, INVALID_PARAMS, cause);
      }
      const { timeLine } = host.scheduler;
      const { lamport, message } = parsed.output;
      observeLamport(timeLine, lamport);
      const answer = await host.call({ kind: "peer", message });
      const result = { lamport: timeLine.lamport, answer };
      return { jsonrpc: "2.0", id, result };
    });
  }
  return async (call) => {
    if (call.path.length !== 1 || call.path[0] !== "rpc") return undefined;
    checkPeer(call, host.credentials);
    const body = await call.body();
    const response = await server.receiveJSON(JSON.stringify(body ?? null));
    return { status: OK, body: response };
  };
}
