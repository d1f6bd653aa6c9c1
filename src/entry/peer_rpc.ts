/**
 * JSON-RPC between entry instances: one method for each kind of call.
 *
 * @module
 */
import {
  createJSONRPCErrorResponse,
  type JSONRPCRequest,
  JSONRPCServer,
} from "json-rpc-2.0";
import * as v from "valibot";
import type { PeerClient } from "../clients/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import type { Advice, AdviceQuestion } from "../hosts/mod.ts";
import { hasBearerToken, refusal, type Route } from "../server/mod.ts";
import { observeLamport, type TimeLine } from "../time_line/mod.ts";
import {
  relayAnswerSchema,
  type RelayCall,
  type RelayedAnswer,
  relayedAnswerSchema,
  type RelayReport,
} from "../ownership/mod.ts";
import type { PeerOutcome } from "./entry.ts";
import {
  adviceAnswerSchema,
  domainAnswerSchema,
  type DomainCall,
  doneAnswerSchema,
  findAnswerSchema,
  ownersAnswerSchema,
  type PeerCall,
  peerCallSchema,
  reachAnswerSchema,
} from "./peer_call.ts";

const OK = 200;
const UNAUTHENTICATED = 401;
const INVALID_PARAMS = -32_602;
const METHOD = "call";
/** Time beyond the expected cost of a question, in milliseconds. */
const ADVICE_MARGIN_MS = 2_000;
/** How long another instance may take for a short answer, in ms. */
const SHORT_TIMEOUT_MS = 400;
/** How long another instance may take for a batch, in milliseconds. */
const BATCH_TIMEOUT_MS = 500;

/** Schema of a call with the Lamport clock of its sender. */
const messageSchema = v.object({ lamport: v.number(), call: peerCallSchema });

/**
 * Creates the route on which other instances call this one.
 *
 * @param secret what they have to send; empty where everybody may call
 */
export function createPeerRpcRoute(
  timeLine: TimeLine,
  secret: string,
  answer: (call: PeerCall) => Promise<unknown>,
): Route {
  const server = new JSONRPCServer({ errorListener: () => {} });
  server.addMethodAdvanced(METHOD, async (request) => {
    const id = request.id ?? null;
    const parsed = v.safeParse(messageSchema, request.params);
    if (!parsed.success) {
      const [issue] = parsed.issues;
      return createJSONRPCErrorResponse(id, INVALID_PARAMS, issue.message);
    }
    const { lamport, call } = parsed.output;
    observeLamport(timeLine, lamport);
    return { jsonrpc: "2.0", id, result: await answer(call) };
  });
  return async (call) => {
    if (call.path.length !== 1 || call.path[0] !== "rpc") return undefined;
    if (secret !== "" && !hasBearerToken(call, secret)) {
      return refusal(UNAUTHENTICATED, diagnostics.unauthenticated);
    }
    const body = await call.body();
    const response = await (isObject(body)
      // The library checks the shape, which the type only promises.
      ? server.receive(body as JSONRPCRequest)
      : server.receiveJSON("null"));
    return { status: OK, body: response };
  };
}

function isObject(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}

/** Calls other entry instances. */
export type PeerRpc = {
  callOwner(
    instance: string,
    call: DomainCall,
    timeoutMs: number,
  ): Promise<PeerOutcome>;
  advise(
    instance: string,
    question: AdviceQuestion,
  ): Promise<Advice | undefined>;
  owners(instance: string): Promise<Record<string, string> | undefined>;
  /** The partition of an instance's domain that knows a job. */
  find(instance: string, job: string): Promise<number | undefined>;
  /** Whether one instance reaches another; undefined if it does not say. */
  reach(through: string, instance: string): Promise<boolean | undefined>;
  /** Asks another instance to join now; tells whether it heard that. */
  confirm(instance: string): Promise<boolean>;
  /** Asks another instance to take a member's place; tells whether it does. */
  succeed(instance: string, member: string): Promise<boolean>;
  /** Tells another instance who owns a domain now. */
  owned(
    instance: string,
    owner: string,
    domain: number,
    epoch: number,
  ): Promise<boolean>;
  /** Sends a batch to a relay; undefined where no answer came. */
  relay(
    instance: string,
    call: RelayCall,
  ): Promise<"taken" | "closed" | undefined>;
  /** Reports to the owner that links are held for. */
  relayed(
    instance: string,
    report: RelayReport,
  ): Promise<RelayedAnswer | undefined>;
  /** Ends an earlier ownership; tells whether that is certain. */
  release(instance: string, domain: number, epoch: number): Promise<boolean>;
};

/**
 * Creates the client side.
 *
 * @example
 * ```ts
 * const rpc = createPeerRpc(peers, timeLine, signal);
 * const outcome = await rpc.callOwner("10.1.0.30:7380", call, 3_000);
 * ```
 */
export function createPeerRpc(
  peers: PeerClient,
  timeLine: TimeLine,
  signal: AbortSignal,
): PeerRpc {
  const send = (instance: string, call: PeerCall, timeoutMs: number) => {
    const message = { lamport: timeLine.lamport, call };
    return peers.call(
      `http://${instance}`,
      METHOD,
      message,
      timeoutMs,
      signal,
    );
  };
  /** Undefined where no answer of the right shape comes in time. */
  const ask = async <Schema extends v.GenericSchema>(
    instance: string,
    call: PeerCall,
    schema: Schema,
    timeoutMs = SHORT_TIMEOUT_MS,
  ): Promise<v.InferOutput<Schema> | undefined> => {
    const result = await send(instance, call, timeoutMs);
    if (result.isErr()) return undefined;
    const parsed = v.safeParse(schema, result.value);
    return parsed.success ? parsed.output : undefined;
  };
  const isDone = async (instance: string, call: PeerCall) =>
    await ask(instance, call, doneAnswerSchema) !== undefined;
  return {
    async callOwner(instance, call, timeoutMs) {
      const result = await send(instance, call, timeoutMs);
      if (result.isErr()) {
        const { kind, message } = result.error;
        const isUnsent = kind === "unsent" || kind === "refused";
        return { kind: isUnsent ? "unsent" : "unknown", cause: message };
      }
      const parsed = v.safeParse(domainAnswerSchema, result.value);
      if (parsed.success) return { kind: "answered", answer: parsed.output };
      return { kind: "unknown", cause: parsed.issues[0].message };
    },
    advise(instance, question) {
      const call = { kind: "advise", ...question } as const;
      const timeoutMs = question.costMs * 2 + ADVICE_MARGIN_MS;
      return ask(instance, call, adviceAnswerSchema, timeoutMs);
    },
    owners: (instance) => ask(instance, { kind: "owners" }, ownersAnswerSchema),
    async find(instance, job) {
      const found = await ask(
        instance,
        { kind: "find", job },
        findAnswerSchema,
      );
      return found?.partition;
    },
    async reach(through, instance) {
      const call = { kind: "reach", instance } as const;
      return (await ask(through, call, reachAnswerSchema))?.reached;
    },
    owned: (instance, owner, domain, epoch) =>
      isDone(instance, { kind: "owned", owner, domain, epoch }),
    async relay(instance, call) {
      const message = { kind: "relay", ...call } as const;
      return (await ask(instance, message, relayAnswerSchema, BATCH_TIMEOUT_MS))
        ?.kind;
    },
    relayed: (instance, report) =>
      ask(
        instance,
        { kind: "relayed", ...report },
        relayedAnswerSchema,
        BATCH_TIMEOUT_MS,
      ),
    confirm: (instance) => isDone(instance, { kind: "confirm" }),
    succeed: (instance, member) =>
      isDone(instance, { kind: "succeed", member }),
    release: (instance, domain, epoch) =>
      isDone(instance, { kind: "release", domain, epoch }),
  };
}
