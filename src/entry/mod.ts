/**
 * An entry instance backed by the platform's store: serves client calls,
 * forwards them to the owners of their domains, and owns domains itself.
 *
 * @module
 */
export * from "./build_identity.ts";
export * from "./configuration.ts";
export * from "./call_router.ts";
export * from "./client_authentication.ts";
export * from "./entry_platform.ts";
export * from "./key_index.ts";
export * from "./partition_of.ts";
export * from "./read_start_settings.ts";
export * from "./run_entry.ts";
