import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Answers one request, or leaves it without an answer. */
export type Script = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

/** A server whose answers are scripted. */
export type ScriptedServer = {
  url: string;
  /** How many whole requests have arrived. */
  requestCount(): number;
  close(): Promise<void>;
};

/**
 * Listens on a free port and answers as the script says.
 *
 * @example
 * ```ts
 * const server = await createScriptedServer((_request, response) => {
 *   response.end("{}");
 * });
 * ```
 */
export function createScriptedServer(script: Script): Promise<ScriptedServer> {
  let arrived = 0;
  const server = createServer((request, response) => {
    let body = "";
    request.setEncoding("utf8");
    request.on("data", (chunk) => body += chunk);
    request.on("end", () => {
      arrived += 1;
      script(request, response, body);
    });
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      resolve({
        url: `http://127.0.0.1:${port}`,
        requestCount: () => arrived,
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            server.closeAllConnections();
          }),
      });
    });
  });
}
