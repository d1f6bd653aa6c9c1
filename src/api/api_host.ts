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
import type { PlacementQuestion } from "./placement_question.ts";
import type { WorkerRow } from "./worker_row.ts";

/** The operations of an entry instance that the HTTP API calls. */
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
  /** Lists the customer's requests in the domains that this instance owns. */
  list(customer: string): Promise<RequestView[]>;
  status(): Promise<InstanceView>;
  /** Lists the workers of the domains that this instance owns. */
  workers(): Promise<WorkerRow[]>;
  /** Lists the tasks of the domains that this instance owns. */
  tasks(): Promise<TaskView[]>;
  /** Explains the state of a request and what it waits for, in short lines. */
  explain(id: string): Promise<string[]>;
  /** Explains where work would go now, without submitting it. */
  where(question: PlacementQuestion): Promise<ApiResponse>;
  manifest(): PublishedManifest | undefined;
  /** Lists the published changes; undefined if the store does not respond. */
  history(): Promise<ManifestChange[] | undefined>;
  publish(publication: Publication): Promise<ApiResponse>;
  account(month: Month): Promise<Account>;
  /** Lists the events whose Lamport timestamp is greater than `after`. */
  timeLine(after: number): TimeLineBatch;
  /** Starts the graceful shutdown of the process. */
  stop(): void;
};
