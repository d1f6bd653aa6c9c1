import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { Resources } from "../../model/mod.ts";
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

/** Shown of a worker that another instance holds. */
const UNKNOWN = "-";

/**
 * Builds the command that lists the workers that an instance knows.
 *
 * @example
 * ```ts
 * const command = createWorkersCommand(terminal);
 * ```
 */
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
    { heading: "TOKEN", align: "right", cell: tokenText },
    { heading: "TASKS", align: "right", cell: ({ tasks }) => `${tasks}` },
    { heading: "CORES", align: "right", cell: coresText },
    { heading: "GIB", align: "right", cell: memoryText },
    { heading: "ACCELERATORS", align: "right", cell: acceleratorsText },
  ], workers);
}

function tokenText({ token }: WorkerRow): string {
  return token === undefined ? UNKNOWN : `${token}`;
}

function coresText(row: WorkerRow): string {
  return usedOf(row, ({ cpuMillis }) => formatCores(cpuMillis));
}

function memoryText(row: WorkerRow): string {
  return usedOf(row, ({ memoryMb }) => formatGibibytes(memoryMb));
}

function acceleratorsText(row: WorkerRow): string {
  return usedOf(row, ({ accelerators }) => `${accelerators}`);
}

function usedOf(
  { used, capacity }: WorkerRow,
  format: (resources: Resources) => string,
): string {
  if (used === undefined || capacity === undefined) return UNKNOWN;
  return `${format(used)}/${format(capacity)}`;
}
