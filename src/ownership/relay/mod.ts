/** Links to workers that other instances hold for an owner. */
export type { Batch } from "./batch_sender.ts";
export type { RelayPeer } from "./relay_choice.ts";
export {
  createRelayHolder,
  type RelayCall,
  type RelayHolder,
} from "./relay_holder.ts";
export {
  relayAnswerSchema,
  type RelayedAnswer,
  relayedAnswerSchema,
  type RelayEvent,
  relayEventSchema,
  type RelayMessage,
  relayMessageSchema,
} from "./relay_message.ts";
export {
  createRelaySessions,
  type RelayReport,
  type RelaySessions,
} from "./relay_sessions.ts";
export {
  createRelayedLinks,
  type LinkStart,
  RELAY_GRANT_MS,
  type RelayedLinks,
  type RelayedLinksHost,
} from "./relayed_links.ts";
