/** Worker links that an owner delegates to other instances, called relays. */
export type { Batch } from "./batch_sender.ts";
export { type RelayPeer, withoutEarlierOwners } from "./relay_choice.ts";
export {
  createRelayServer,
  type RelayCall,
  type RelayServer,
} from "./relay_server.ts";
export {
  relayCallAnswerSchema,
  type RelayEvent,
  relayEventSchema,
  type RelayMessage,
  relayMessageSchema,
  type RelayReportAnswer,
  relayReportAnswerSchema,
} from "./relay_message.ts";
export {
  createRelayReportRouter,
  type RelayReport,
  type RelayReportRouter,
} from "./relay_report_router.ts";
export {
  createRelayedLinks,
  RELAY_GRANT_MS,
  type RelayedLinkOptions,
  type RelayedLinks,
  type RelayedLinksHost,
} from "./relayed_links.ts";
