/**
 * The fold of the log: every reader of the same entries, however often they
 * are repeated, gets the same state.
 *
 * @module
 */
export * from "./accepted_request.ts";
export * from "./claim.ts";
export * from "./ended_request.ts";
export { CLAIM_RETENTION_MS, claimOf } from "./fold_claim.ts";
export {
  applyManifest,
  type ManifestChange,
  manifestRecordOf,
  type ManifestVerdict,
  manifestVerdict,
  MAX_HISTORY_ENTRIES,
} from "./fold_manifest.ts";
export * from "./fold_page.ts";
export {
  acceptedRequests,
  type Adoption,
  adoptionOf,
  ENDED_RETENTION_MS,
  endedOf,
  OUTCOME_RETENTION_MS,
} from "./fold_request.ts";
export { OPEN_HOURS } from "./fold_usage.ts";
export * from "./group_commit.ts";
export * from "./history_entry.ts";
export * from "./log_record.ts";
export * from "./log_state.ts";
export * from "./manifest_entry.ts";
export { readRecord, type StoredRecord, storeRecord } from "./stored_record.ts";
export { needsRepair, needsSnapshot, takeSnapshot } from "./snapshot.ts";
export * from "./usage_day.ts";
export * from "./usage_state.ts";
