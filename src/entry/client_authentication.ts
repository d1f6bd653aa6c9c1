/**
 * Decides which client account a call belongs to. A key may have been revoked, or
 * added, by a version that this instance has not read; so a key is accepted only
 * for a bound after the configuration was last known to be the newest, and a call
 * without a known key is refused for good only within a shorter one.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { assertNever } from "../base/mod.ts";
import { CLOCK_TOLERANCE_MS } from "../ownership/mod.ts";
import type { Counters } from "../telemetry/mod.ts";
import type { ConfigurationState } from "./configuration.ts";
import type { ConfigurationIntake } from "./configuration_intake.ts";
import { createKeyIndex, type KeyIndex } from "./key_index.ts";
import type { RefusalLog } from "./refusal_log.ts";

/** Part of each bound that is left for errors of the clocks, in milliseconds. */
export const BOUND_MARGIN_MS = CLOCK_TOLERANCE_MS + 50;
/** Time by which the configuration is likely to be confirmed again, in ms. */
const RETRY_AFTER_MS = 1_000;

/** What is decided about the key of a call. */
export type Authentication =
  | { kind: "accepted"; clientAccount: string | undefined }
  | { kind: "missingKey" }
  | { kind: "unknownKey" }
  /** The configuration may be outdated; the call may succeed elsewhere. */
  | { kind: "unconfirmed"; retryAfterMs: number };

/** Why a call was refused. */
export type KeyRefusal = Exclude<Authentication["kind"], "accepted">;

/** Dependencies of the authentication. */
export type ClientAuthenticationHost = {
  configuration: Pick<ConfigurationState, "current">;
  intake: Pick<ConfigurationIntake, "ageMs">;
  counters: Counters;
  refusals: RefusalLog<KeyRefusal>;
  /** How long after its revocation a key may be accepted, in milliseconds. */
  revocationBoundMs: number;
  /** Time after which an added key has to be accepted, in milliseconds. */
  additionBoundMs: number;
};

/** Authenticates calls on the configuration in force. */
export type ClientAuthentication = {
  /** Decides about a call to a queue that is not public, by its key. */
  authenticate(key: Buffer | undefined): Authentication;
};

/**
 * Creates the authentication of an instance.
 *
 * @example
 * ```ts
 * const { authenticate } = createClientAuthentication(host);
 * const { kind } = authenticate(Buffer.from("key"));
 * ```
 */
export function createClientAuthentication(
  host: ClientAuthenticationHost,
): ClientAuthentication {
  const { configuration, counters, intake, refusals } = host;
  const acceptWithinMs = host.revocationBoundMs - BOUND_MARGIN_MS;
  const refuseWithinMs =
    Math.min(host.revocationBoundMs, host.additionBoundMs) - BOUND_MARGIN_MS;
  let indexed: { version: number; index: KeyIndex } | undefined;

  function decide(key: Buffer | undefined): Authentication {
    const unconfirmed = {
      kind: "unconfirmed",
      retryAfterMs: RETRY_AFTER_MS,
    } as const;
    const current = configuration.current();
    if (current === undefined) return unconfirmed;
    const { version, clientAccounts, requiresKeys } = current;
    if (!requiresKeys) {
      return { kind: "accepted", clientAccount: undefined };
    }
    const ageMs = intake.ageMs();
    if (ageMs > acceptWithinMs) return unconfirmed;
    if (indexed?.version !== version) {
      indexed = { version, index: createKeyIndex(clientAccounts) };
    }
    const clientAccount = key === undefined
      ? undefined
      : indexed.index.accountOf(key);
    if (clientAccount !== undefined) return { kind: "accepted", clientAccount };
    if (ageMs > refuseWithinMs) return unconfirmed;
    return { kind: key === undefined ? "missingKey" : "unknownKey" };
  }

  return {
    authenticate(key) {
      const authentication = decide(key);
      switch (authentication.kind) {
        case "accepted":
          break;
        case "missingKey":
        case "unknownKey":
        case "unconfirmed":
          counters.count("keys_refused", { cause: authentication.kind });
          refusals.add(authentication.kind);
          break;
        default:
          assertNever(authentication);
      }
      return authentication;
    },
  };
}
