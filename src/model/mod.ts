/**
 * The data model: valibot schemas and the types inferred from them.
 *
 * @module
 */
export * from "./agreement_key.ts";
export * from "./client_account.ts";
export * from "./manifest.ts";
export * from "./outcome.ts";
export * from "./policy.ts";
export * from "./request_view.ts";
export * from "./resources.ts";
export * from "./submission.ts";
export * from "./time_line_event.ts";
export * from "./work_kind.ts";
