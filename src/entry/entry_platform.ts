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
import type { Logger } from "../telemetry/mod.ts";
import type { Configuration, ConfigurationState } from "./configuration.ts";
import type { Entry } from "./entry.ts";
import type { Settings } from "../settings/mod.ts";

/** What the platform's adapter gives to an entry instance. */
export type EntryPlatform = {
  store: StoreHost;
  tasks: TaskHost;
  advice: AdviceHost;
  configurationTopic: Partition;
  workersTopic: Partition;
  /** Reads a configuration; undefined for records of other kinds. */
  decodeConfiguration(
    record: KeyedRecord,
  ): { configuration: Configuration } | { reason: string } | undefined;
  decodeWorker: ListingDecoder;
  /** Serves the calls of clients. */
  createCallerServer(host: CallerServerHost): Server;
};

/** What the server for clients needs. */
export type CallerServerHost = {
  entry: Entry;
  configuration: ConfigurationState;
  logger: Logger;
  clock: Clock;
  /** Whether the process is stopping, so that connections have to end. */
  isStopping(): boolean;
};

/** What the adapter needs to build its clients. */
export type PlatformHost = {
  settings: Settings;
  /** For calls to the store and the placement policy. */
  caller: HttpClient;
  /** For calls to workers. */
  workerCaller: HttpClient;
};
