import { defineCommand } from "citty";
import { describeCommand } from "./command_meta.ts";
import { createAccountCommand } from "./commands/account.ts";
import { createCancelCommand } from "./commands/cancel.ts";
import { createDrainCommand } from "./commands/drain.ts";
import { createExplainCommand } from "./commands/explain.ts";
import { createManifestCommand } from "./commands/manifest/mod.ts";
import { createReadCommand } from "./commands/read.ts";
import { createRequestsCommand } from "./commands/requests.ts";
import { createStatusCommand } from "./commands/status.ts";
import { createSubmitCommand } from "./commands/submit.ts";
import { createTasksCommand } from "./commands/tasks.ts";
import { createTimelineCommand } from "./commands/timeline.ts";
import { createWhereCommand } from "./commands/where.ts";
import { createWorkersCommand } from "./commands/workers.ts";
import type { Terminal } from "./terminal.ts";

/**
 * Builds the root command with all of its subcommands.
 *
 * @example
 * ```ts
 * const command = createMainCommand(terminal);
 * ```
 */
export function createMainCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "samphirestage",
      "Submits work to a cluster and operates it",
      [
        "samphirestage status --url http://10.1.0.11:8001 --token TOKEN",
        "samphirestage submit --agreement order-desk --work proof",
      ],
    ),
    subCommands: {
      submit: createSubmitCommand(terminal),
      read: createReadCommand(terminal),
      cancel: createCancelCommand(terminal),
      requests: createRequestsCommand(terminal),
      tasks: createTasksCommand(terminal),
      workers: createWorkersCommand(terminal),
      status: createStatusCommand(terminal),
      explain: createExplainCommand(terminal),
      where: createWhereCommand(terminal),
      manifest: createManifestCommand(terminal),
      account: createAccountCommand(terminal),
      timeline: createTimelineCommand(terminal),
      drain: createDrainCommand(terminal),
    },
  });
}
