import type { Manifest, Submission } from "../model/mod.ts";
import type { PeerMessage } from "./peer_message.ts";

/** A call that a scheduler answers. */
export type Call =
  | { kind: "issue"; customer: string }
  | {
    kind: "submit";
    customer: string;
    requestId: string;
    submission: Submission;
    waitMs: number;
  }
  | {
    /** A submission under the caller's own idempotency key. */
    kind: "submitKeyed";
    customer: string;
    key: string;
    submission: Submission;
    waitMs: number;
  }
  | { kind: "read"; customer: string; requestId: string; waitMs: number }
  | { kind: "cancel"; customer: string; requestId: string }
  | {
    kind: "publish";
    author: string;
    changeId: string;
    baseVersion: number;
    manifest: Manifest;
  }
  | { kind: "peer"; message: PeerMessage };
