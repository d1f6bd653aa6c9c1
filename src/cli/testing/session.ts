import { ok } from "neverthrow";
import { runCli } from "../run_cli.ts";
import type { Environment, Terminal } from "../terminal.ts";
import {
  type FakeInstance,
  type FakeResponse,
  PLACEHOLDER_URL,
  startFakeInstance,
} from "./fake_instance.ts";
import { assertGolden } from "./golden_file.ts";

/** A scripted terminal session against fake instances. */
export type Session = {
  /** Name of the golden file, without its extension. */
  name: string;
  responses: FakeResponse[];
  /** Responses of further instances, by the placeholders of their URLs. */
  peers?: Record<string, FakeResponse[]>;
  /** The command lines; each is split at spaces outside single quotes. */
  lines: string[];
  environment?: Environment;
  /** The text that the commands read from the standard input. */
  input?: string;
};

/**
 * Runs a session and compares its transcript with a golden file: all terminal
 * output, exit codes, and the calls made to the instances.
 *
 * @example
 * ```ts
 * const lines = ["status"];
 * await assertSessionTranscript({ name: "status", responses, lines });
 * ```
 *
 * In the golden file, `>` marks a call to an instance and `!` a line of the
 * standard error output. A call to a further instance starts with its URL.
 */
export async function assertSessionTranscript(session: Session): Promise<void> {
  const peers = new Map<string, FakeInstance>();
  for (const [placeholder, responses] of Object.entries(session.peers ?? {})) {
    peers.set(
      placeholder,
      await startFakeInstance(responses, new Map(), placeholder),
    );
  }
  const peerUrls = new Map(
    [...peers].map(([placeholder, { url }]) => [placeholder, url]),
  );
  const fake = await startFakeInstance(session.responses, peerUrls);
  try {
    const lineTranscripts: string[] = [];
    for (const line of session.lines) {
      lineTranscripts.push(await runLine(session, line, fake, peers));
    }
    let transcript = lineTranscripts.join("\n").replaceAll(
      fake.url,
      PLACEHOLDER_URL,
    );
    for (const [placeholder, { url }] of peers) {
      transcript = transcript.replaceAll(url, placeholder);
    }
    assertGolden(`src/cli/baselines/${session.name}.txt`, transcript);
  } finally {
    await fake.close();
    for (const peer of peers.values()) await peer.close();
  }
}

async function runLine(
  session: Session,
  line: string,
  fake: FakeInstance,
  peers: ReadonlyMap<string, FakeInstance>,
): Promise<string> {
  const printed: string[] = [];
  const terminal: Terminal = {
    write: (text) => void printed.push(text),
    writeError: (text) => void printed.push(text.replace(/^(?=.)/gm, "! ")),
    readInput: () => ok(session.input ?? ""),
    environment: {
      SAMPHIRESTAGE_URL: fake.url,
      SAMPHIRESTAGE_TOKEN: "sample-token",
      ...session.environment,
    },
    signal: new AbortController().signal,
  };
  const exitCode = await runCli(splitLine(line), terminal);
  const calls = fake.calls.splice(0).map((call) => `> ${call}\n`);
  for (const [placeholder, peer] of peers) {
    for (const call of peer.calls.splice(0)) {
      calls.push(`> ${placeholder} ${call}\n`);
    }
  }
  return [
    `$ samphirestage ${line}\n`,
    ...calls,
    ...printed,
    `exit ${exitCode}\n`,
  ].join("");
}

/** Splits a command line at spaces; supports no quoting but single quotes. */
function splitLine(line: string): string[] {
  const args = line.match(/'[^']*'|[^ ]+/g) ?? [];
  return args.map((arg) => arg.replaceAll("'", ""));
}
