/**
 * A TCP proxy on loopback that injects network faults.
 *
 * @module
 */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** How a proxy handles its connections. */
export type ProxyMode =
  | { kind: "passing" }
  | { kind: "delaying"; delayMs: number }
  /** Connections are reset immediately. */
  | { kind: "resetting" }
  /** Connections are accepted, and all data is dropped. */
  | { kind: "silent" }
  /** Requests are forwarded, and responses are dropped. */
  | { kind: "losingAnswers" };

/** A proxy in front of one server. */
export type FaultProxy = {
  /** `IP:port` of the proxy. */
  address: string;
  setMode(mode: ProxyMode): void;
  close(): void;
};

/** Starts a proxy that initially forwards all data to an address. */
export async function startFaultProxy(target: string): Promise<FaultProxy> {
  const [host = LOOPBACK, port = "0"] = target.split(":");
  const connections = new Set<Connection>();
  let mode: ProxyMode = { kind: "passing" };

  const server = createServer((client) => {
    const connection: Connection = {
      client,
      upstream: connect(Number(port), host),
      hasDroppedData: false,
    };
    connections.add(connection);
    if (mode.kind === "resetting") resetConnection(connection);
    connectStreams(connection, () => mode);
    client.once("close", () => connections.delete(connection));
  });
  server.listen(0, LOOPBACK);
  await once(server, "listening");
  return {
    address: `${LOOPBACK}:${(server.address() as AddressInfo).port}`,
    setMode(next) {
      mode = next;
      // A stream that lost data must not continue.
      const mustReset = (connection: Connection) =>
        next.kind === "resetting" || connection.hasDroppedData;
      for (const connection of connections) {
        if (mustReset(connection)) resetConnection(connection);
      }
    },
    close() {
      server.close();
      for (const connection of connections) resetConnection(connection);
    },
  };
}

type Connection = { client: Socket; upstream: Socket; hasDroppedData: boolean };

function connectStreams(
  connection: Connection,
  currentMode: () => ProxyMode,
): void {
  const { client, upstream } = connection;
  client.on("data", (data) => {
    forward(connection, upstream, data, currentMode(), "request");
  });
  upstream.on("data", (data) => {
    forward(connection, client, data, currentMode(), "response");
  });
  for (const [socket, other] of [[client, upstream], [upstream, client]]) {
    // Closing or failing either side closes the other; errors are expected.
    socket!.on("error", () => other!.destroy());
    socket!.on("close", () => other!.destroy());
  }
}

function forward(
  connection: Connection,
  to: Socket,
  data: Uint8Array,
  mode: ProxyMode,
  direction: "request" | "response",
): void {
  switch (mode.kind) {
    case "passing":
    case "resetting":
      to.write(data);
      return;
    case "delaying":
      setTimeout(() => to.write(data), mode.delayMs);
      return;
    case "silent":
      connection.hasDroppedData = true;
      return;
    case "losingAnswers":
      if (direction === "request") to.write(data);
      else connection.hasDroppedData = true;
  }
}

function resetConnection({ client, upstream }: Connection): void {
  client.resetAndDestroy();
  upstream.resetAndDestroy();
}
