#!/usr/bin/env node
/**
 * The daemon that an entry instance runs.
 *
 * @module
 */
import "./engine_flags.ts";
import process from "node:process";
import { defineCommand, runMain } from "citty";
import { checkSettingsFile, formatSettingsFaults } from "../settings/mod.ts";
import { runInstance } from "./run_instance.ts";

const USAGE_EXIT_CODE = 2;

const command = defineCommand({
  meta: {
    name: "samphirestaged",
    description: "Runs one entry instance of the cluster scheduler",
  },
  args: {
    settings: {
      type: "string",
      description: "INI file with the settings of the instance",
      valueHint: "FILE",
    },
    check: {
      type: "string",
      description: "Only check an INI file, and report every fault",
      valueHint: "FILE",
    },
  },
  async run({ args }) {
    const path = args.check ?? args.settings;
    if (path === undefined) {
      process.stderr.write("samphirestaged: --settings FILE is needed\n");
      process.exitCode = USAGE_EXIT_CODE;
      return;
    }
    const settings = checkSettingsFile(path);
    if (settings.isErr()) {
      process.stderr.write(`${formatSettingsFaults(settings.error)}\n`);
      process.exitCode = USAGE_EXIT_CODE;
      return;
    }
    if (args.check !== undefined) {
      process.stdout.write(`${path}: valid\n`);
      return;
    }
    process.exitCode = await runInstance(settings.value);
  },
});

await runMain(command);
