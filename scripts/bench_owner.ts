/**
 * Command line of the owner benchmark:
 * `npm run bench:owner -- --daemon target/samphirestaged.mjs`.
 * With `--beside PATH`, another daemon is measured in the same run.
 *
 * @module
 */
import process from "node:process";
import { defineCommand, runMain } from "citty";
import { benchOwner } from "../stand_ins/owner_bench/owner_bench.ts";

const command = defineCommand({
  meta: {
    name: "bench:owner",
    description: "Measures the processor time of an owner per task start",
  },
  args: {
    daemon: {
      type: "string",
      default: "target/samphirestaged.mjs",
      description: "Path of the bundled daemon",
    },
    beside: { type: "string", description: "Path of a daemon to compare with" },
    workers: {
      type: "string",
      default: "350",
      description: "Number of workers",
    },
    seconds: { type: "string", default: "15", description: "Measured time" },
    load: {
      type: "string",
      default: "1",
      description: "Multiplier of the submission rates",
    },
    rounds: {
      type: "string",
      default: "1",
      description: "Measurements of each daemon",
    },
    takeover: {
      type: "boolean",
      default: false,
      description: "Kill the owner at the end, and measure its successor",
    },
    profile: { type: "string", description: "Folder for CPU profiles" },
    logs: { type: "string", description: "Folder for logs" },
  },
  async run({ args }) {
    const daemons = [args.beside, args.daemon].filter((one) =>
      one !== undefined
    );
    for (let round = 0; round < Number(args.rounds); round += 1) {
      for (const daemon of daemons) {
        const cost = await benchOwner({
          daemon,
          workers: Number(args.workers),
          seconds: Number(args.seconds),
          loadFactor: Number(args.load),
          takesOver: args.takeover,
          ...(args.profile === undefined
            ? {}
            : { profileFolder: args.profile }),
          ...(args.logs === undefined ? {} : { logFolder: args.logs }),
        });
        console.log(JSON.stringify({ daemon, ...cost }));
      }
    }
    process.exit(0);
  },
});

await runMain(command);
