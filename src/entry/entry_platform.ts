import type { Server } from "node:http";
import type { HttpClient } from "../clients/mod.ts";
import type {
  AdviceHost,
  Clock,
  KeyedRecord,
  Partition,
  StoreHost,
  TaskHost,
} from "../hosts/mod.ts";
import type { ListingDecoder } from "../ownership/mod.ts";
import type { ClientGuard } from "../server/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { Configuration, ConfigurationState } from "./configuration.ts";
import type { CallRouter } from "./call_router.ts";
import type { ClientAuthentication } from "./client_authentication.ts";
import type { Settings } from "../settings/mod.ts";

/** Services that the platform's adapter provides to an entry instance. */
export type EntryPlatform = {
  store: StoreHost;
  tasks: TaskHost;
  advice: AdviceHost;
  configurationTopic: Partition;
  workersTopic: Partition;
  /** Decodes a configuration; undefined for records of other kinds. */
  decodeConfiguration(
    record: KeyedRecord,
  ): { configuration: Configuration } | { reason: string } | undefined;
  decodeWorker: ListingDecoder;
  /** Creates the server for client calls. */
  createCallerServer(host: CallerServerHost): Server;
};

/** Dependencies of the server for client calls. */
export type CallerServerHost = {
  router: CallRouter;
  configuration: ConfigurationState;
  /** Decides about calls while the configuration has client accounts. */
  authentication: ClientAuthentication;
  logger: Logger;
  clock: Clock;
  /** Bounds what clients take. */
  clients: ClientGuard;
  /** Whether the process is stopping, so that connections must be closed. */
  isStopping(): boolean;
};

/** Dependencies of the adapter's clients. */
export type PlatformHost = {
  settings: Settings;
  /** HTTP client for calls to the store and the placement policy. */
  httpClient: HttpClient;
  /** HTTP client for calls to workers. */
  workerHttpClient: HttpClient;
};
