import { writeFileSync } from "node:fs";
import { defineCommand } from "citty";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { TimeLineEvent } from "../../model/mod.ts";
import { describeError, urlSchema } from "../../settings/mod.ts";
import {
  mergeTimeLines,
  renderTimeLineHtml,
  renderTimeLineText,
} from "../../time_line/mod.ts";
import type { ApiClient } from "../api_client.ts";
import {
  type CommandFault,
  toCommandFault,
  usageFault,
} from "../command_fault.ts";
import { describeCommand } from "../command_meta.ts";
import { connectionArguments } from "../connection.ts";
import { exitCodes } from "../exit_codes.ts";
import { addUnanswered } from "../add_unanswered.ts";
import {
  callInstances,
  type InstanceEndpoint,
  listInstances,
} from "../instances.ts";
import type { Report } from "../report.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import type { Terminal } from "../terminal.ts";

/** Requests all events that an instance still retains. */
const BEFORE_FIRST_EVENT = 0;

type TimelineFlags = {
  instances?: string | undefined;
  html?: string | undefined;
};

/**
 * Builds the command that merges the timelines of all instances.
 *
 * @example
 * ```ts
 * const command = createTimelineCommand(terminal);
 * ```
 */
export function createTimelineCommand(terminal: Terminal) {
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
        description:
          "URLs of the instances to query; else the instance and its peers",
        valueHint: "url,url",
      },
      html: {
        type: "string",
        description: "Write the timeline as an HTML page to this file",
        valueHint: "file",
      },
    },
    run: (context) =>
      runRemote(
        terminal,
        context,
        (client) => showTimeline(client, context.args),
      ),
  });
}

async function showTimeline(
  client: ApiClient,
  flags: TimelineFlags,
): Promise<CommandResult> {
  const instances = await resolveInstances(client, flags.instances);
  if (instances.isErr()) return err(instances.error);
  const gathered = await callInstances(
    client,
    instances.value,
    (instance) => instance.timeline(BEFORE_FIRST_EVENT),
  );
  if (gathered.isErr()) return err(toCommandFault(gathered.error));
  const { responses, unanswered } = gathered.value;
  const events = mergeTimeLines(responses.map(({ value }) => value.events));
  const report = flags.html === undefined
    ? ok(reportEvents(events))
    : writePage(flags.html, events);
  return report.map((completed) => addUnanswered(completed, unanswered));
}

async function resolveInstances(
  client: ApiClient,
  urlList: string | undefined,
): Promise<Result<InstanceEndpoint[], CommandFault>> {
  if (urlList === undefined) {
    return (await listInstances(client)).mapErr(toCommandFault);
  }
  const urls = urlList.split(",").map((url) => url.trim());
  const invalidUrl = urls.find((url) => !v.is(urlSchema, url));
  if (invalidUrl === undefined) {
    return ok(urls.map((url) => ({ name: url, url })));
  }
  return err(
    usageFault(
      `--instances names "${invalidUrl}", which is not an http:// or https:// URL.`,
    ),
  );
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
    return err(
      usageFault(`${path} cannot be written: ${describeError(error)}.`),
    );
  }
  return ok({
    data: { events, page: path },
    text: `${events.length} events are in ${path}.`,
    exitCode: exitCodes.ok,
  });
}
