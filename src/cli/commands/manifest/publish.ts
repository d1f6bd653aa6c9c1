import { defineCommand } from "citty";
import { err, ok, type Result } from "neverthrow";
import { digest } from "../../../base/mod.ts";
import { diagnostics } from "../../../diagnostics/mod.ts";
import type { Fault } from "../../../hosts/mod.ts";
import {
  diffManifests,
  NO_VERSION,
  type PublishedManifest,
} from "../../../manifest/mod.ts";
import type { Manifest } from "../../../model/mod.ts";
import type { ApiClient, ManifestChangeRequest } from "../../api_client.ts";
import { type CommandFault, toCommandFault } from "../../command_fault.ts";
import { describeCommand } from "../../command_meta.ts";
import { connectionArguments } from "../../connection.ts";
import { exitCodes } from "../../exit_codes.ts";
import { parseIntegerFlag } from "../../integer_flag.ts";
import { readManifestFile } from "../../read_manifest_file.ts";
import type { Report } from "../../report.ts";
import { type CommandResult, runRemote } from "../../run_command.ts";
import type { Terminal } from "../../terminal.ts";

const CHANGE_ID_HEX_DIGITS = 16;

type PublishFlags = {
  file: string;
  base?: string | undefined;
  "change-id"?: string | undefined;
  author?: string | undefined;
};

/**
 * Builds the command that publishes a manifest.
 *
 * @example
 * ```ts
 * const command = createPublishCommand(terminal);
 * ```
 */
export function createPublishCommand(terminal: Terminal) {
  return defineCommand({
    meta: describeCommand(
      "publish",
      "Publishes a manifest on top of the version that it was built on",
      [
        "samphirestage manifest publish manifest.json",
        "samphirestage manifest publish manifest.json --base 41 --change-id build-812",
      ],
    ),
    args: {
      ...connectionArguments,
      file: {
        type: "positional",
        required: true,
        description: "JSON file with the manifest",
      },
      base: {
        type: "string",
        description: "Version that it builds on; else the one in force",
        valueHint: "version",
      },
      "change-id": {
        type: "string",
        description:
          "Id that makes a retry idempotent; else a digest of the change",
      },
      author: {
        type: "string",
        description:
          "Author of the change; else the operator that the token belongs to",
      },
    },
    run: (context) =>
      runRemote(
        terminal,
        context,
        (client) => publishFile(terminal, client, context.args),
      ),
  });
}

async function publishFile(
  terminal: Terminal,
  client: ApiClient,
  flags: PublishFlags,
): Promise<CommandResult> {
  const manifest = readManifestFile(terminal, flags.file);
  if (manifest.isErr()) return err(manifest.error);
  if (flags.base !== undefined) {
    const base = parseIntegerFlag(
      "--base",
      flags.base,
      NO_VERSION,
      Number.MAX_SAFE_INTEGER,
    );
    if (base.isErr()) return err(base.error);
    const change = buildChangeRequest(flags, manifest.value, base.value);
    return publishChange(client, change);
  }
  const inForce = await readManifestInForce(client);
  if (inForce.isErr()) return err(toCommandFault(inForce.error));
  if (
    inForce.value !== undefined && hasSameContent(inForce.value, manifest.value)
  ) {
    return ok(reportUnchanged(inForce.value));
  }
  const baseVersion = inForce.value?.version ?? NO_VERSION;
  const change = buildChangeRequest(flags, manifest.value, baseVersion);
  return publishChange(client, change);
}

async function readManifestInForce(
  client: ApiClient,
): Promise<Result<PublishedManifest | undefined, Fault>> {
  const status = await client.status();
  if (status.isErr()) return err(status.error);
  if (status.value.version === NO_VERSION) return ok(undefined);
  return client.manifestInForce();
}

function hasSameContent(
  inForce: PublishedManifest,
  manifest: Manifest,
): boolean {
  return diffManifests(inForce.manifest, manifest).length === 0;
}

function buildChangeRequest(
  flags: PublishFlags,
  manifest: Manifest,
  baseVersion: number,
): ManifestChangeRequest {
  const { author } = flags;
  return {
    changeId: flags["change-id"] ?? deriveChangeId(manifest, baseVersion),
    baseVersion,
    ...(author === undefined ? {} : { author }),
    manifest,
  };
}

/** Includes the base, so that a revert to earlier content gets a new id. */
function deriveChangeId(manifest: Manifest, baseVersion: number): string {
  const text = JSON.stringify({ baseVersion, manifest });
  return digest(text).slice(0, CHANGE_ID_HEX_DIGITS);
}

async function publishChange(
  client: ApiClient,
  change: ManifestChangeRequest,
): Promise<CommandResult> {
  const published = await client.publish(change);
  if (published.isErr()) {
    return err(await toPublishFault(client, change, published.error));
  }
  const { version } = published.value;
  const { changeId, baseVersion } = change;
  return ok({
    data: { version, baseVersion, changeId },
    text: `Version ${version} is published (change ${changeId}).`,
    exitCode: exitCodes.ok,
  });
}

function reportUnchanged(inForce: PublishedManifest): Report {
  const { version, changeId } = inForce;
  return {
    data: { version, baseVersion: version, changeId },
    text: `Version ${version} has this content already; nothing is published.`,
    exitCode: exitCodes.ok,
  };
}

async function toPublishFault(
  client: ApiClient,
  change: ManifestChangeRequest,
  fault: Fault,
): Promise<CommandFault> {
  const base = toCommandFault(fault);
  if (fault.kind === "unknown") {
    const retryFlags =
      `--base ${change.baseVersion} --change-id ${change.changeId}`;
    const details = [
      "It is not known whether the manifest was published.",
      `Publish it again with ${retryFlags}; repeating it is safe.`,
    ];
    return { ...base, exitCode: exitCodes.notKnownYet, details };
  }
  if (fault.code !== diagnostics.manifestConflict.code) return base;
  const response = await client.manifestInForce();
  return response.match(
    (inForce) => ({ ...base, details: [describeInForce(inForce)] }),
    () => base,
  );
}

function describeInForce(inForce: PublishedManifest): string {
  const { version, author, changeId } = inForce;
  return `Version ${version} by ${author} (change ${changeId}) is in force.`;
}
