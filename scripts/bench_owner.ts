/**
 * The owner bench: `npm run bench:owner -- --daemon target/samphirestaged.mjs`.
 * Give `--beside` another daemon to measure both in one run.
 *
 * @module
 */
import process from "node:process";
import { defineCommand, runMain } from "citty";
import { benchOwner } from "../stand_ins/owner_bench/owner_bench.ts";

const command = defineCommand({
  meta: {
    name: "bench:owner",
    description: "Measures the processor time of an owner for a start",
  },
  args: {
    daemon: {
      type: "string",
      default: "target/samphirestaged.mjs",
      description: "The bundled daemon",
    },
    beside: { type: "string", description: "A daemon to compare with" },
    workers: { type: "string", default: "350", description: "Workers" },
    seconds: { type: "string", default: "15", description: "Measured time" },
    load: { type: "string", default: "1", description: "Factor of the rates" },
    rounds: { type: "string", default: "1", description: "Runs of each" },
    profile: { type: "string", description: "Folder for profiles" },
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
