import { ok } from "neverthrow";
import { runCli } from "../run_cli.ts";
import type { Environment, Terminal } from "../terminal.ts";
import {
  type FakeAnswer,
  type FakeInstance,
  SHOWN_URL,
  startFakeInstance,
} from "./fake_instance.ts";
import { assertGolden } from "./golden_file.ts";

/** A scripted terminal session against fake instances. */
export type Session = {
  /** Name of the golden file, without its extension. */
  name: string;
  answers: FakeAnswer[];
  /** Responses of further instances, by the placeholders of their URLs. */
  peers?: Record<string, FakeAnswer[]>;
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
 * await checkSession({ name: "status", answers, lines: ["status"] });
 * ```
 *
 * In the golden file, `>` marks a call to an instance and `!` a line of the
 * standard error output. A call to a further instance starts with its URL.
 */
export async function checkSession(session: Session): Promise<void> {
  const peers = new Map<string, FakeInstance>();
  for (const [shown, answers] of Object.entries(session.peers ?? {})) {
    peers.set(shown, await startFakeInstance(answers, new Map(), shown));
  }
  const addresses = new Map([...peers].map(([shown, { url }]) => [shown, url]));
  const fake = await startFakeInstance(session.answers, addresses);
  try {
    const parts: string[] = [];
    for (const line of session.lines) {
      parts.push(await runLine(session, line, fake, peers));
    }
    let transcript = parts.join("\n").replaceAll(fake.url, SHOWN_URL);
    for (const [shown, { url }] of peers) {
      transcript = transcript.replaceAll(url, shown);
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
  for (const [shown, peer] of peers) {
    for (const call of peer.calls.splice(0)) {
      calls.push(`> ${shown} ${call}\n`);
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
  const words = line.match(/'[^']*'|[^ ]+/g) ?? [];
  return words.map((word) => word.replaceAll("'", ""));
}
