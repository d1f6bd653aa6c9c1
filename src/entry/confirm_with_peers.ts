/**
 * Confirms the configuration through other instances while this one has had no
 * answer of the store for a while: the store may refuse it and serve them.
 *
 * @module
 */
import type { Clock } from "../hosts/mod.ts";
import { currentInstant } from "../ownership/mod.ts";
import type { Counters, PartLogger } from "../telemetry/mod.ts";
import type { ConfigurationState } from "./configuration.ts";
import type { ConfigurationIntake } from "./configuration_intake.ts";
import type { ConfigurationAnswer } from "./peer_call.ts";

/** Interval at which the age of the confirmation is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** The same while the configuration has no client accounts. */
const IDLE_INTERVAL_MS = 1_000;
/** Longest pause after rounds without a confirmation, in milliseconds. */
const MAX_PAUSE_MS = 1_000;
/** Number of instances that are asked in a round. */
const MAX_ASKED = 3;
/**
 * Share of the revocation bound after which other instances are asked. Reads of
 * the store that succeed keep the confirmation younger.
 */
const ASK_AFTER_SHARE = 0.5;
/** Share of the same bound up to which an answer ends a round. */
const YOUNG_SHARE = 0.3;

/** Dependencies of the confirmation through other instances. */
export type PeerConfirmationHost = {
  clock: Clock;
  logger: PartLogger;
  counters: Counters;
  configuration: ConfigurationState;
  intake: ConfigurationIntake;
  /** How long a confirmation admits keys, in milliseconds. */
  revocationBoundMs: number;
  /** The addresses of the other instances. */
  peers(): string[];
  /** Asks an instance; undefined without an answer. */
  ask(
    instance: string,
    version: number,
  ): Promise<ConfigurationAnswer | undefined>;
  signal: AbortSignal;
};

/**
 * Asks other instances whenever the confirmation gets old, until the signal
 * aborts. Does nothing while the configuration has no client accounts.
 *
 * @example
 * ```ts
 * confirmWithPeers({ ...context, peers, ask, signal });
 * ```
 */
export async function confirmWithPeers(
  host: PeerConfirmationHost,
): Promise<void> {
  const { clock, configuration, signal } = host;
  const candidates = createCandidates();
  let pauseMs = CHECK_INTERVAL_MS;
  while (!signal.aborted) {
    await clock.sleep(pauseMs, signal);
    if (configuration.current()?.requiresKeys !== true) {
      pauseMs = IDLE_INTERVAL_MS;
      continue;
    }
    if (isOld(host)) await askInTurn(host, candidates);
    pauseMs = isOld(host)
      ? Math.min(pauseMs * 2, MAX_PAUSE_MS)
      : CHECK_INTERVAL_MS;
  }
}

/** Whether the confirmation is so old that other instances are asked. */
function isOld({ intake, revocationBoundMs }: PeerConfirmationHost): boolean {
  return intake.ageMs() > revocationBoundMs * ASK_AFTER_SHARE;
}

/** Asks a few instances in turn, until one has a young confirmation. */
async function askInTurn(
  host: PeerConfirmationHost,
  candidates: Candidates,
): Promise<void> {
  const { clock, configuration, counters, intake, logger } = host;
  for (const instance of candidates.next(host.peers())) {
    const sentAt = currentInstant(clock);
    const version = configuration.current()?.version ?? 0;
    const answer = await host.ask(instance, version);
    if (host.signal.aborted) return;
    if (answer === undefined || !intake.applyAnswer(sentAt, answer)) continue;
    if (intake.ageMs() > host.revocationBoundMs * YOUNG_SHARE) continue;
    counters.count("configuration_confirmed_by_peer");
    if (candidates.prefer(instance)) {
      logger.info("Confirming the configuration through another instance.", {
        instance,
        version: answer.version,
        ageMs: Math.round(intake.ageMs()),
      });
    }
    return;
  }
}

type Candidates = {
  /** Lists the instances of a round. */
  next(peers: string[]): Generator<string>;
  /** Makes an instance the first of the next round; returns if it is another. */
  prefer(instance: string): boolean;
};

/** Orders the instances: the one that helped last, then all others by turns. */
function createCandidates(): Candidates {
  let preferred: string | undefined;
  let lastPreferred: string | undefined;
  let turn = 0;
  return {
    *next(peers) {
      const first = peers.find((peer) => peer === preferred);
      preferred = undefined;
      if (first !== undefined) yield first;
      const others = peers.filter((peer) => peer !== first);
      const remaining = MAX_ASKED - (first === undefined ? 0 : 1);
      for (let asked = 0; asked < remaining; asked++) {
        const other = others[turn % others.length];
        if (other === undefined || asked >= others.length) return;
        turn += 1;
        yield other;
      }
    },
    prefer(instance) {
      const isOther = lastPreferred !== instance;
      preferred = instance;
      lastPreferred = instance;
      return isOther;
    },
  };
}
