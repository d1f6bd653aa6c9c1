import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { TaskRow } from "../answers/mod.ts";
import type { ApiClient } from "../api_client.ts";
import { callFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import { renderTable } from "../table.ts";
import type { Terminal } from "../terminal.ts";
import { formatDuration } from "../units.ts";

type TaskFilter = {
  customer?: string | undefined;
  state?: string | undefined;
};

/**
 * Builds the command that lists the tasks that an instance knows.
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
      "Lists the tasks that wait or run",
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
  const list = await client.tasks();
  if (list.isErr()) return err(callFault(list.error));
  const tasks = list.value.tasks.filter((task) => isWanted(task, filter));
  return ok({
    data: { tasks },
    text: renderTasks(tasks),
    exitCode: exitCodes.ok,
  });
}

function isWanted(task: TaskRow, filter: TaskFilter): boolean {
  const { customer = task.customer, state = task.state } = filter;
  return task.customer === customer && task.state === state;
}

function renderTasks(tasks: TaskRow[]): string {
  return renderTable([
    { heading: "TASK", cell: ({ id }) => id },
    { heading: "CUSTOMER", cell: ({ customer }) => customer },
    { heading: "AGREEMENT", cell: ({ agreement }) => agreement },
    { heading: "WORK", cell: ({ work }) => work },
    { heading: "STATE", cell: ({ state }) => state },
    { heading: "WORKER", cell: ({ worker }) => worker ?? "-" },
    {
      heading: "WAITED",
      align: "right",
      cell: ({ waitedMs }) => formatDuration(waitedMs),
    },
  ], tasks);
}
