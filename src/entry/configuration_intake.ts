/**
 * Takes in the operators' configuration, from the store or from another instance,
 * and tells for which instant it is known to be the newest.
 *
 * @module
 */
import type { KeyedRecord } from "../hosts/mod.ts";
import type { ClockHistory, Instant } from "../ownership/mod.ts";
import type { PartLogger } from "../telemetry/mod.ts";
import type { Configuration, ConfigurationState } from "./configuration.ts";
import type { EntryPlatform } from "./entry_platform.ts";
import type { ConfigurationAnswer } from "./peer_call.ts";

/** Dependencies of the intake. */
export type ConfigurationIntakeHost = {
  configuration: ConfigurationState;
  clocks: ClockHistory;
  logger: PartLogger;
  decode: EntryPlatform["decodeConfiguration"];
  /** Called after a newer configuration has come into force. */
  onApplied(configuration: Configuration): void;
};

/** Takes in configurations and confirmations. */
export type ConfigurationIntake = {
  /** Applies records of the configuration topic, in order. */
  apply(records: KeyedRecord[]): void;
  /**
   * Confirms the configuration after a read of its topic, unless the newest
   * record was unreadable: keys that it removes are still in force here.
   *
   * @param sentAt when the read was sent
   */
  confirm(sentAt: Instant): void;
  /** The age of the latest confirmation, in ms; Infinity if there is none. */
  ageMs(): number;
  /** Answers another instance, which has a version in force. */
  answer(version: number): ConfigurationAnswer;
  /**
   * Applies the answer of another instance.
   *
   * @param sentAt when the question was sent
   * @returns whether it confirmed the configuration in force
   */
  applyAnswer(sentAt: Instant, answer: ConfigurationAnswer): boolean;
};

/**
 * Creates an intake without a configuration.
 *
 * @example
 * ```ts
 * const intake = createConfigurationIntake(host);
 * intake.apply(records);
 * intake.confirm(sentAt);
 * ```
 */
export function createConfigurationIntake(
  host: ConfigurationIntakeHost,
): ConfigurationIntake {
  const { configuration, clocks, logger } = host;
  /** The record of the configuration in force. */
  let recordInForce: { key: string; value: string } | undefined;
  let isNewestUnreadable = false;

  /** Applies a record; returns whether it could be read, if it should. */
  function applyRecord(record: KeyedRecord): boolean | undefined {
    const decoded = host.decode(record);
    if (decoded === undefined) return undefined;
    if ("reason" in decoded) {
      logger.error("Skipped an unreadable configuration.", {
        key: record.key,
        reason: decoded.reason,
      });
      return false;
    }
    if (!configuration.applyIfNewer(decoded.configuration)) return true;
    const { key, value = "" } = record;
    recordInForce = { key, value };
    host.onApplied(decoded.configuration);
    const { version, routes, clientAccounts } = decoded.configuration;
    logger.info("Applied a new configuration.", {
      version,
      routes: routes.length,
      accounts: clientAccounts.length,
      requiresKeys: configuration.current()?.requiresKeys === true,
    });
    return true;
  }

  function ageMs(): number {
    const confirmation = configuration.confirmation();
    if (confirmation === undefined) return Infinity;
    return clocks.elapsedMs(confirmation.sentAt) + confirmation.ageMs;
  }

  return {
    apply(records) {
      for (const record of records) {
        const wasUnreadable = isNewestUnreadable;
        // Holds on if the record cannot be applied: it is not read again.
        isNewestUnreadable = true;
        const isReadable = applyRecord(record);
        isNewestUnreadable = isReadable === undefined
          ? wasUnreadable
          : !isReadable;
      }
    },
    confirm(sentAt) {
      if (!isNewestUnreadable) configuration.confirm(sentAt);
    },
    ageMs,
    answer(version) {
      const ownVersion = configuration.current()?.version ?? 0;
      const confirmedAgeMs = ageMs();
      return {
        version: ownVersion,
        ...(Number.isFinite(confirmedAgeMs) ? { ageMs: confirmedAgeMs } : {}),
        ...(ownVersion > version && recordInForce !== undefined
          ? { record: recordInForce }
          : {}),
      };
    },
    applyAnswer(sentAt, { version, ageMs: peerAgeMs, record }) {
      if (record !== undefined) applyRecord(record);
      const ownVersion = configuration.current()?.version;
      const isCovered = ownVersion !== undefined && ownVersion >= version;
      if (!isCovered || peerAgeMs === undefined) return false;
      configuration.confirm(sentAt, peerAgeMs);
      return true;
    },
  };
}
