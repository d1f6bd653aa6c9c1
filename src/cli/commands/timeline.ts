import { writeFileSync } from "node:fs";
import { defineCommand } from "citty";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { TimeLineEvent } from "../../model/mod.ts";
import { causeOf, urlSchema } from "../../settings/mod.ts";
import {
  mergeTimeLines,
  renderTimeLineHtml,
  renderTimeLineText,
} from "../../time_line/mod.ts";
import type { ApiClient } from "../api_client.ts";
import { callFault, type CommandFault, usageFault } from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { addUnanswered } from "../gathered_report.ts";
import {
  type AskedInstance,
  askInstances,
  findInstances,
} from "../instances.ts";
import type { Report } from "../report.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import type { Terminal } from "../terminal.ts";

/** Requests all events that an instance still retains. */
const BEFORE_ALL_EVENTS = 0;

type TimeLineFlags = {
  instances?: string | undefined;
  html?: string | undefined;
};

/**
 * Builds the command that merges the timelines of all instances.
 *
 * @example
 * ```ts
 * const command = createTimeLineCommand(terminal);
 * ```
 */
export function createTimeLineCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "timeline",
      "Merges the events of all instances, in causal order",
      [
        "samphirestage timeline",
        "samphirestage timeline --html timeline.html",
        "samphirestage timeline --instances http://10.1.0.11:8001,http://10.2.0.11:8001",
      ],
    ),
    args: {
      ...connectionArguments,
      instances: {
        type: "string",
        description: "URLs to ask; else those that the instance knows",
        valueHint: "url,url",
      },
      html: {
        type: "string",
        description: "Write one page for a browser to this file",
        valueHint: "file",
      },
    },
    run: (context) =>
      runRemote(
        terminal,
        context,
        (client) => showTimeLine(client, context.args),
      ),
  });
}

async function showTimeLine(
  client: ApiClient,
  flags: TimeLineFlags,
): Promise<CommandResult> {
  const instances = await chooseInstances(client, flags.instances);
  if (instances.isErr()) return err(instances.error);
  const gathered = await askInstances(
    client,
    instances.value,
    (one) => one.timeLine(BEFORE_ALL_EVENTS),
  );
  if (gathered.isErr()) return err(callFault(gathered.error));
  const { answers, unanswered } = gathered.value;
  const events = mergeTimeLines(answers.map(({ value }) => value.events));
  const report = flags.html === undefined
    ? ok(reportEvents(events))
    : writePage(flags.html, events);
  return report.map((done) => addUnanswered(done, unanswered));
}

async function chooseInstances(
  client: ApiClient,
  given: string | undefined,
): Promise<Result<AskedInstance[], CommandFault>> {
  if (given === undefined) {
    return (await findInstances(client)).mapErr(callFault);
  }
  const urls = given.split(",").map((url) => url.trim());
  const wrong = urls.find((url) => !v.is(urlSchema, url));
  if (wrong === undefined) return ok(urls.map((url) => ({ name: url, url })));
  return err(usageFault(`--instances names "${wrong}", which is no URL.`));
}

function reportEvents(events: TimeLineEvent[]): Report {
  return {
    data: { events },
    text: renderTimeLineText(events).trimEnd(),
    exitCode: exitCodes.ok,
  };
}

function writePage(
  path: string,
  events: TimeLineEvent[],
): Result<Report, CommandFault> {
  try {
    writeFileSync(path, renderTimeLineHtml(events));
  } catch (error) {
    return err(usageFault(`${path} cannot be written: ${causeOf(error)}.`));
  }
  return ok({
    data: { events, page: path },
    text: `${events.length} events are in ${path}.`,
    exitCode: exitCodes.ok,
  });
}
