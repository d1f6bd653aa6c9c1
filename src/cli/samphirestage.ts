#!/usr/bin/env node
/**
 * The entry point of the command-line tool.
 *
 * @module
 */
import process from "node:process";
import { processTerminal } from "./process_terminal.ts";
import { runCli } from "./run_cli.ts";

process.exitCode = await runCli(process.argv.slice(2), processTerminal());
