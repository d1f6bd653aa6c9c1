import { invalidValue, type SettingsFault } from "./settings_fault.ts";

/** How many heartbeats fit at least into the time after which a peer is dead. */
const LEAST_HEARTBEATS_MISSED = 2;

/** The values whose relations are checked; one at fault is absent. */
export type RelatedSettings = {
  lease: { heartbeat_ms?: number; dead_after_ms?: number };
  customers: Record<string, string[]>;
  operators: Record<string, string>;
};

/**
 * Checks what holds between several settings: a peer is given at least two
 * heartbeats before it counts as dead, and each token names one party.
 *
 * @example
 * ```ts
 * faults.push(...relationFaults(values));
 * ```
 */
export function* relationFaults(
  settings: RelatedSettings,
): Generator<SettingsFault> {
  yield* leaseFaults(settings.lease);
  yield* tokenFaults(settings);
}

function* leaseFaults(
  lease: RelatedSettings["lease"],
): Generator<SettingsFault> {
  const { heartbeat_ms: heartbeatMs, dead_after_ms: deadAfterMs } = lease;
  if (heartbeatMs === undefined || deadAfterMs === undefined) return;
  const leastMs = heartbeatMs * LEAST_HEARTBEATS_MISSED;
  if (deadAfterMs >= leastMs) return;
  yield invalidValue(
    "lease",
    "dead_after_ms",
    `${deadAfterMs}`,
    `at least ${leastMs}, twice heartbeat_ms`,
  );
}

function* tokenFaults(settings: RelatedSettings): Generator<SettingsFault> {
  const seen = new Set<string>();
  for (const { section, key, token } of tokensOf(settings)) {
    if (seen.has(token)) {
      yield invalidValue(
        section,
        key,
        "(hidden)",
        "a token that nobody else has",
      );
    }
    seen.add(token);
  }
}

function* tokensOf(
  settings: RelatedSettings,
): Generator<{ section: string; key: string; token: string }> {
  for (const [key, tokens] of Object.entries(settings.customers)) {
    for (const token of tokens) yield { section: "customers", key, token };
  }
  for (const [key, token] of Object.entries(settings.operators)) {
    yield { section: "operators", key, token };
  }
}
