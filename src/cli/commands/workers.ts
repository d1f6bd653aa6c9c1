import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { WorkerRow } from "../answers/mod.ts";
import type { ApiClient } from "../api_client.ts";
import { callFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import { renderTable } from "../table.ts";
import type { Terminal } from "../terminal.ts";
import { formatCores, formatGibibytes } from "../units.ts";

/** Builds the command that lists the workers that an instance knows. */
export function createWorkersCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "workers",
      "Lists the workers, with what is used of each",
      [
        "samphirestage workers",
        "samphirestage workers --json",
      ],
    ),
    args: connectionArguments,
    run: (context) => runRemote(terminal, context, listWorkers),
  });
}

async function listWorkers(client: ApiClient): Promise<CommandResult> {
  const list = await client.workers();
  if (list.isErr()) return err(callFault(list.error));
  return ok({
    data: list.value,
    text: renderWorkers(list.value.workers),
    exitCode: exitCodes.ok,
  });
}

function renderWorkers(workers: WorkerRow[]): string {
  return renderTable([
    { heading: "WORKER", cell: ({ id }) => id },
    { heading: "ZONE", cell: ({ zone }) => zone },
    { heading: "RACK", cell: ({ rack }) => rack },
    { heading: "STATE", cell: ({ state }) => state },
    { heading: "TOKEN", align: "right", cell: ({ token }) => `${token}` },
    { heading: "TASKS", align: "right", cell: tasksText },
    { heading: "CORES", align: "right", cell: coresText },
    { heading: "GIB", align: "right", cell: memoryText },
    { heading: "ACCELERATORS", align: "right", cell: acceleratorsText },
  ], workers);
}

function tasksText({ tasks, capacity }: WorkerRow): string {
  return `${tasks}/${capacity.slots}`;
}

function coresText({ used, capacity }: WorkerRow): string {
  const all = formatCores(capacity.resources.cpuMillis);
  return `${formatCores(used.cpuMillis)}/${all}`;
}

function memoryText({ used, capacity }: WorkerRow): string {
  const all = formatGibibytes(capacity.resources.memoryMb);
  return `${formatGibibytes(used.memoryMb)}/${all}`;
}

function acceleratorsText({ used, capacity }: WorkerRow): string {
  return `${used.accelerators}/${capacity.resources.accelerators}`;
}
