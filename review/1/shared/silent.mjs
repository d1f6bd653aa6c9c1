// Listens on ports with the shortest queue of new channels. Once this process
// stands still and the queue is full, opening packets get no response, as at an
// address without a machine.
// Usage: node silent.mjs PORT...
import { createServer } from "node:net";

const ports = process.argv.slice(2).map(Number);
await Promise.all(
  ports.map((port) =>
    new Promise((resolve) =>
      createServer().listen(
        { port, host: "127.0.0.1", backlog: 1 },
        resolve,
      )
    )
  ),
);
process.stdout.write("ready\n");
