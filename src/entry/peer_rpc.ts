/**
 * JSON-RPC between entry instances. One method carries all kinds of calls.
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
import type { Advice, AdviceRequest } from "../hosts/mod.ts";
import { hasBearerToken, refusal, type Route } from "../server/mod.ts";
import { observeLamport, type TimeLine } from "../time_line/mod.ts";
import {
  type DomainSearch,
  type DomainSearchOptions,
  type RelayCall,
  relayCallAnswerSchema,
  type RelayReport,
  type RelayReportAnswer,
  relayReportAnswerSchema,
} from "../ownership/mod.ts";
import type { PeerCallOutcome } from "./call_router.ts";
import type { PeerContact } from "./peer_contact.ts";
import {
  acknowledgementSchema,
  adviceAnswerSchema,
  type ConfigurationAnswer,
  configurationAnswerSchema,
  domainAnswerSchema,
  type DomainCall,
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
/** Time allowed beyond twice the expected cost of a question, in ms. */
const ADVICE_MARGIN_MS = 2_000;
/** Timeout of calls with a short answer, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 400;
/** Timeout of calls that carry a batch, in milliseconds. */
const BATCH_TIMEOUT_MS = 500;

/** Schema of a call with the Lamport clock of its sender. */
const messageSchema = v.object({ lamport: v.number(), call: peerCallSchema });

/**
 * Creates the route on which other instances call this one.
 *
 * @param secret bearer token that the instances send; empty to accept all calls
 */
export function createPeerRpcRoute(
  timeLine: TimeLine,
  secret: string,
  handleCall: (call: PeerCall) => Promise<unknown>,
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
    return { jsonrpc: "2.0", id, result: await handleCall(call) };
  });
  return async (call) => {
    if (call.path.length !== 1 || call.path[0] !== "rpc") return undefined;
    if (secret !== "" && !hasBearerToken(call, secret)) {
      return refusal(UNAUTHENTICATED, diagnostics.unauthenticated);
    }
    const body = await call.body();
    const response = await (isObject(body)
      // The library validates the request, so the cast is safe.
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
  ): Promise<PeerCallOutcome>;
  advise(
    instance: string,
    question: AdviceRequest,
  ): Promise<Advice | undefined>;
  owners(instance: string): Promise<Record<string, string> | undefined>;
  /** Asks how old the confirmation of the configuration is there. */
  configuration(
    instance: string,
    version: number,
  ): Promise<ConfigurationAnswer | undefined>;
  /** Searches domains of an instance for a job; undefined if no answer. */
  find(
    instance: string,
    job: string,
    partitions: number[],
    options: DomainSearchOptions,
  ): Promise<DomainSearch | undefined>;
  /** Whether one instance reaches another; undefined without an answer. */
  reach(via: string, instance: string): Promise<boolean | undefined>;
  /** Invites another instance to join now; returns whether it acknowledged. */
  confirm(instance: string): Promise<boolean>;
  /** Makes another instance replace a member; returns whether it did. */
  succeed(instance: string, member: string): Promise<boolean>;
  /** Announces a domain's new owner to another instance. */
  owned(
    instance: string,
    owner: string,
    domain: number,
    epoch: number,
  ): Promise<boolean>;
  /** Sends a batch to a relay; undefined without an answer. */
  relay(
    instance: string,
    call: RelayCall,
  ): Promise<"taken" | "closed" | undefined>;
  /** Sends a relay's report to the owner whose links it holds. */
  relayed(
    instance: string,
    report: RelayReport,
  ): Promise<RelayReportAnswer | undefined>;
  /** Ends an earlier ownership; returns whether that is confirmed. */
  release(instance: string, domain: number, epoch: number): Promise<boolean>;
};

/**
 * Creates the client for calls to other instances.
 *
 * @example
 * ```ts
 * const rpc = createPeerRpc(peers, timeLine, contact, signal);
 * const outcome = await rpc.callOwner("10.1.0.30:7380", call, 3_000);
 * ```
 */
export function createPeerRpc(
  peers: PeerClient,
  timeLine: TimeLine,
  contact: PeerContact,
  signal: AbortSignal,
): PeerRpc {
  const send = async (instance: string, call: PeerCall, timeoutMs: number) => {
    const message = { lamport: timeLine.lamport, call };
    const result = await peers.call(
      `http://${instance}`,
      METHOD,
      message,
      timeoutMs,
      signal,
    );
    if (result.isOk()) contact.record(instance);
    return result;
  };
  /** Returns undefined if no valid answer arrives in time. */
  const request = async <Schema extends v.GenericSchema>(
    instance: string,
    call: PeerCall,
    schema: Schema,
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<v.InferOutput<Schema> | undefined> => {
    const result = await send(instance, call, timeoutMs);
    if (result.isErr()) return undefined;
    const parsed = v.safeParse(schema, result.value);
    return parsed.success ? parsed.output : undefined;
  };
  const isAcknowledged = async (instance: string, call: PeerCall) =>
    await request(instance, call, acknowledgementSchema) !== undefined;
  return {
    async callOwner(instance, call, timeoutMs) {
      const result = await send(instance, call, timeoutMs);
      if (result.isErr()) {
        const { kind, message } = result.error;
        const wasNotSent = kind === "unsent" || kind === "refused";
        return { kind: wasNotSent ? "unsent" : "unknown", cause: message };
      }
      const parsed = v.safeParse(domainAnswerSchema, result.value);
      if (parsed.success) return { kind: "answered", answer: parsed.output };
      return { kind: "unknown", cause: parsed.issues[0].message };
    },
    advise(instance, question) {
      const call = { kind: "advise", ...question } as const;
      const timeoutMs = question.costMs * 2 + ADVICE_MARGIN_MS;
      return request(instance, call, adviceAnswerSchema, timeoutMs);
    },
    owners: (instance) =>
      request(instance, { kind: "owners" }, ownersAnswerSchema),
    configuration: (instance, version) =>
      request(
        instance,
        { kind: "configuration", version },
        configurationAnswerSchema,
      ),
    find(instance, job, partitions, options) {
      const call = { kind: "find", job, partitions, ...options } as const;
      return request(instance, call, findAnswerSchema);
    },
    async reach(via, instance) {
      const call = { kind: "reach", instance } as const;
      return (await request(via, call, reachAnswerSchema))?.reached;
    },
    owned: (instance, owner, domain, epoch) =>
      isAcknowledged(instance, { kind: "owned", owner, domain, epoch }),
    async relay(instance, call) {
      const message = { kind: "relay", ...call } as const;
      return (await request(
        instance,
        message,
        relayCallAnswerSchema,
        BATCH_TIMEOUT_MS,
      ))
        ?.kind;
    },
    relayed: (instance, report) =>
      request(
        instance,
        { kind: "relayed", ...report },
        relayReportAnswerSchema,
        BATCH_TIMEOUT_MS,
      ),
    confirm: (instance) => isAcknowledged(instance, { kind: "confirm" }),
    succeed: (instance, member) =>
      isAcknowledged(instance, { kind: "succeed", member }),
    release: (instance, domain, epoch) =>
      isAcknowledged(instance, { kind: "release", domain, epoch }),
  };
}
