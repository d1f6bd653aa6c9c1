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

/** A session at a terminal against one fake instance. */
export type Session = {
  /** Name of the golden file, without its ending. */
  name: string;
  answers: FakeAnswer[];
  /** The command lines; each is split at its spaces outside of quotes. */
  lines: string[];
  environment?: Environment;
  /** What the commands read from the standard input. */
  input?: string;
};

/**
 * Runs a session and compares everything on the terminal, and every call to
 * the instance, with a golden file.
 *
 * @example
 * ```ts
 * await checkSession({ name: "status", answers, lines: ["status"] });
 * ```
 *
 * In the golden file, `>` marks a call to the instance and `!` a line of the
 * standard error output.
 */
export async function checkSession(session: Session): Promise<void> {
  const fake = await startFakeInstance(session.answers);
  try {
    const parts: string[] = [];
    for (const line of session.lines) {
      parts.push(await runLine(session, line, fake));
    }
    const transcript = parts.join("\n").replaceAll(fake.url, SHOWN_URL);
    assertGolden(`src/cli/baselines/${session.name}.txt`, transcript);
  } finally {
    await fake.close();
  }
}

async function runLine(
  session: Session,
  line: string,
  fake: FakeInstance,
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
  return [
    `$ samphirestage ${line}\n`,
    ...calls,
    ...printed,
    `exit ${exitCode}\n`,
  ].join("");
}

/** Splits like a shell, as far as the sessions need it: by single quotes. */
function splitLine(line: string): string[] {
  const words = line.match(/'[^']*'|[^ ]+/g) ?? [];
  return words.map((word) => word.replaceAll("'", ""));
}
