// Stand-in for the service at `hint` (PROTOCOL.md): allows every worker, after
// `decide_ms` plus `per_item_ms` for each worker named.
// Usage: node advice.mjs PORT HINTS, a JSON object of hints by the first
// character of the submission's id.
import { createServer } from "node:http";

const port = Number(process.argv[2]);
const hints = JSON.parse(process.argv[3]);

createServer(async (request, response) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const { phase, workers } = JSON.parse(Buffer.concat(chunks));
  const { decide_ms, per_item_ms, valid_ms } = hints[phase[0]];
  setTimeout(() => {
    const allowed = workers.map((id) => [id, `${phase}/${id}`]);
    response.end(JSON.stringify({ allowed, valid_ms }));
  }, decide_ms + per_item_ms * workers.length);
}).listen(port, "127.0.0.1", () => process.stdout.write("ready\n"));
