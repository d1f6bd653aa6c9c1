import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { ApiClient } from "../api_client.ts";
import { toCommandFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { addUnanswered } from "../add_unanswered.ts";
import { callAllInstances } from "../instances.ts";
import { type MergedTask, mergeTasks } from "../merge_tasks.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import { renderTable } from "../table.ts";
import type { Terminal } from "../terminal.ts";
import { formatDuration } from "../units.ts";

type TaskFilter = {
  customer?: string | undefined;
  state?: string | undefined;
};

/**
 * Builds the command that lists the tasks of all instances.
 *
 * @example
 * ```ts
 * const command = createTasksCommand(terminal);
 * ```
 */
export function createTasksCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "tasks",
      "Lists the waiting and running tasks of all instances",
      [
        "samphirestage tasks",
        "samphirestage tasks --customer funeral-homes --state queued",
      ],
    ),
    args: {
      ...connectionArguments,
      customer: { type: "string", description: "Only tasks of this customer" },
      state: { type: "string", description: "Only tasks in this state" },
    },
    run: (context) =>
      runRemote(terminal, context, (client) => listTasks(client, context.args)),
  });
}

async function listTasks(
  client: ApiClient,
  filter: TaskFilter,
): Promise<CommandResult> {
  const gathered = await callAllInstances(
    client,
    (instance) => instance.tasks(),
  );
  if (gathered.isErr()) return err(toCommandFault(gathered.error));
  const { responses, unanswered } = gathered.value;
  const tasks = mergeTasks(responses).filter((task) =>
    matchesFilter(task, filter)
  );
  const report = {
    data: { tasks },
    text: renderTasks(tasks),
    exitCode: exitCodes.ok,
  };
  return ok(addUnanswered(report, unanswered));
}

function matchesFilter(task: MergedTask, filter: TaskFilter): boolean {
  const { customer = task.customer, state = task.state } = filter;
  return task.customer === customer && task.state === state;
}

function renderTasks(tasks: MergedTask[]): string {
  return renderTable([
    { heading: "TASK", cell: ({ id }) => id },
    { heading: "CUSTOMER", cell: ({ customer }) => customer || "-" },
    { heading: "QUEUE", cell: ({ queue }) => queue },
    { heading: "STATE", cell: ({ state }) => state },
    { heading: "INSTANCE", cell: ({ instance }) => instance },
    { heading: "WORKER", cell: ({ worker }) => worker ?? "-" },
    {
      heading: "WAITED",
      align: "right",
      cell: ({ waitedMs }) => formatDuration(waitedMs),
    },
  ], tasks);
}
