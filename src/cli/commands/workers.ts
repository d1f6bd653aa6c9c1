import { defineCommand } from "citty";
import { err, ok } from "neverthrow";
import type { Resources } from "../../model/mod.ts";
import type { ApiClient } from "../api_client.ts";
import { toCommandFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { addUnanswered } from "../add_unanswered.ts";
import { callAllInstances } from "../instances.ts";
import { type MergedWorker, mergeWorkers } from "../merge_workers.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import { renderTable } from "../table.ts";
import type { Terminal } from "../terminal.ts";
import { formatCores, formatGibibytes } from "../units.ts";

/**
 * Builds the command that lists the workers of all instances.
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
      "Lists the workers of all instances, with the resources used on each",
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
  const gathered = await callAllInstances(
    client,
    (instance) => instance.workers(),
  );
  if (gathered.isErr()) return err(toCommandFault(gathered.error));
  const { responses, unanswered } = gathered.value;
  const workers = mergeWorkers(responses);
  const report = {
    data: { workers },
    text: renderWorkers(workers),
    exitCode: exitCodes.ok,
  };
  return ok(addUnanswered(report, unanswered));
}

function renderWorkers(workers: MergedWorker[]): string {
  return renderTable([
    { heading: "WORKER", cell: ({ id }) => id },
    { heading: "ZONE", cell: ({ zone }) => zone },
    { heading: "RACK", cell: ({ rack }) => rack },
    { heading: "STATE", cell: ({ state }) => state },
    { heading: "INSTANCE", cell: ({ instance }) => instance },
    { heading: "EPOCH", align: "right", cell: ({ epoch }) => `${epoch}` },
    { heading: "TASKS", align: "right", cell: ({ tasks }) => `${tasks}` },
    { heading: "CORES", align: "right", cell: coresText },
    { heading: "GIB", align: "right", cell: memoryText },
    { heading: "ACCELERATORS", align: "right", cell: acceleratorsText },
  ], workers);
}

function coresText(row: MergedWorker): string {
  return usageText(row, ({ cpuMillis }) => formatCores(cpuMillis));
}

function memoryText(row: MergedWorker): string {
  return usageText(row, ({ memoryMb }) => formatGibibytes(memoryMb));
}

function acceleratorsText(row: MergedWorker): string {
  return usageText(row, ({ accelerators }) => `${accelerators}`);
}

function usageText(
  { used, capacity }: MergedWorker,
  format: (resources: Resources) => string,
): string {
  return `${format(used)}/${format(capacity)}`;
}
