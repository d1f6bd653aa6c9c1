import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Responds to one request, or leaves it without a response. */
export type Script = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

/** A running server whose responses come from a script. */
export type ScriptedServer = {
  url: string;
  /** Number of complete requests received so far. */
  requestCount(): number;
  close(): Promise<void>;
};

/**
 * Starts a server on a free loopback port that handles requests by a script.
 *
 * @example
 * ```ts
 * const server = await createScriptedServer((_request, response) => {
 *   response.end("{}");
 * });
 * ```
 */
export function createScriptedServer(script: Script): Promise<ScriptedServer> {
  let receivedCount = 0;
  const server = createServer((request, response) => {
    let body = "";
    request.setEncoding("utf8");
    request.on("data", (chunk) => body += chunk);
    request.on("end", () => {
      receivedCount += 1;
      script(request, response, body);
    });
  });
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      resolve({
        url: `http://127.0.0.1:${port}`,
        requestCount: () => receivedCount,
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            server.closeAllConnections();
          }),
      });
    });
  });
}
