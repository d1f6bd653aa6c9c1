import { writeFileSync } from "node:fs";
import { defineCommand } from "citty";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { Fault } from "../../hosts/mod.ts";
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
import { findInstances } from "../instances.ts";
import type { Report } from "../report.ts";
import { type CommandResult, runRemote } from "../run_command.ts";
import type { Terminal } from "../terminal.ts";

/** Asks for all events that an instance still keeps. */
const BEFORE_ALL_EVENTS = 0;

type TimeLineFlags = {
  instances?: string | undefined;
  html?: string | undefined;
};

/** What one instance answered. */
type Answered = { url: string; events: Result<TimeLineEvent[], Fault> };

/**
 * Builds the command that merges the time lines of all instances.
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
  const urls = await chooseInstances(client, flags.instances);
  if (urls.isErr()) return err(urls.error);
  const answered = await Promise.all(
    urls.value.map((url) => askInstance(client, url)),
  );
  const silent = answered.filter(({ events }) => events.isErr());
  const [firstFault] = silent.flatMap(({ events }) =>
    events.isErr() ? [events.error] : []
  );
  if (firstFault !== undefined && silent.length === answered.length) {
    return err(callFault(firstFault));
  }
  const lists = answered.map(({ events }) => events.unwrapOr([]));
  const events = mergeTimeLines(lists);
  const report = flags.html === undefined
    ? ok(reportEvents(events))
    : writePage(flags.html, events);
  return report.map((done) => addSilent(done, silent.map(({ url }) => url)));
}

async function chooseInstances(
  client: ApiClient,
  given: string | undefined,
): Promise<Result<string[], CommandFault>> {
  if (given === undefined) {
    return (await findInstances(client)).mapErr(callFault);
  }
  const urls = given.split(",").map((url) => url.trim());
  const wrong = urls.find((url) => !v.is(urlSchema, url));
  if (wrong === undefined) return ok(urls);
  return err(usageFault(`--instances names "${wrong}", which is no URL.`));
}

async function askInstance(client: ApiClient, url: string): Promise<Answered> {
  const page = await client.at(url).timeLine(BEFORE_ALL_EVENTS);
  return { url, events: page.map(({ events }) => events) };
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

/** Names the instances whose events are missing; the rest is shown. */
function addSilent(report: Report, silent: string[]): Report {
  if (silent.length === 0) return report;
  return {
    data: { ...report.data as object, silent },
    text: `${report.text}\n\nWithout an answer: ${silent.join(", ")}`,
    exitCode: exitCodes.notKnownYet,
  };
}
