import {
  type ClientGuard,
  createClientGuard,
  deriveClientLimits,
} from "../server/mod.ts";
import type { EntryContext } from "./entry_context.ts";

/** Creates the guard for the clients of an instance from its settings. */
export function createInstanceGuard(
  { settings, counters, logger, ending }: Pick<
    EntryContext,
    "settings" | "counters" | "logger" | "ending"
  >,
): ClientGuard {
  const { machine, clients, listen } = settings;
  return createClientGuard({
    limits: deriveClientLimits({
      ...machine,
      peerPorts: listen.peerPortCount,
    }, {
      headTimeoutMs: clients.headTimeoutMs,
      bodyGraceMs: clients.bodyGraceMs,
      bodyBytesPerS: clients.bodyBytesPerS,
      unreadAnswerMs: clients.unreadAnswerMs,
    }),
    onRefusal: (server, cause) => {
      counters.count("client_refusals", { server, cause });
    },
    onReport: (refusals) => {
      logger.part("entry").warn("Refused clients beyond the limits.", refusals);
    },
    signal: ending.signal,
  });
}
