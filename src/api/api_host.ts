import type { Account, Month } from "../account/mod.ts";
import type { TaskView } from "../domain/mod.ts";
import type {
  ManifestChange,
  Publication,
  PublishedManifest,
} from "../manifest/mod.ts";
import type { RequestView, Submission } from "../model/mod.ts";
import type { Credentials } from "../server/mod.ts";
import type { TimeLineBatch } from "../time_line/mod.ts";
import type { ApiResponse } from "./api_response.ts";
import type { InstanceView } from "./instance_view.ts";
import type { WorkerRow } from "./worker_row.ts";

/** What the product's HTTP interface needs of an entry instance. */
export type ApiHost = {
  credentials: Credentials;
  /** @param waitMs how long to wait for the outcome, in milliseconds */
  submit(
    customer: string,
    id: string,
    submission: Submission,
    waitMs: number,
  ): Promise<ApiResponse>;
  read(customer: string, id: string, waitMs: number): Promise<ApiResponse>;
  cancel(customer: string, id: string): Promise<ApiResponse>;
  /** The customer's requests in the domains that this instance owns. */
  list(customer: string): Promise<RequestView[]>;
  status(): Promise<InstanceView>;
  /** The workers of the domains that this instance owns. */
  workers(): Promise<WorkerRow[]>;
  /** The tasks of the domains that this instance owns. */
  tasks(): Promise<TaskView[]>;
  /** Where a request stands, in short lines. */
  explain(id: string): Promise<string[]>;
  manifest(): PublishedManifest | undefined;
  /** Undefined where the store does not answer. */
  history(): Promise<ManifestChange[] | undefined>;
  publish(publication: Publication): Promise<ApiResponse>;
  account(month: Month): Promise<Account>;
  /** The events above a number of the Lamport clock. */
  timeLine(after: number): TimeLineBatch;
  /** Begins the planned stop of the process. */
  stop(): void;
};
