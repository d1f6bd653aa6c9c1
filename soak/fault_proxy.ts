/**
 * A proxy on loopback that treats connections badly, as told.
 *
 * @module
 */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** How a proxy treats its connections. */
export type Treatment =
  | { kind: "passing" }
  | { kind: "delaying"; delayMs: number }
  /** Connections are reset at once. */
  | { kind: "resetting" }
  /** Connections open, and nothing passes. */
  | { kind: "silent" }
  /** Calls arrive, and their answers are lost. */
  | { kind: "losingAnswers" };

/** A proxy in front of one server. */
export type FaultProxy = {
  /** `IP:port` of the proxy. */
  address: string;
  treat(treatment: Treatment): void;
  close(): void;
};

/** Starts a proxy that passes everything to an address. */
export async function startFaultProxy(target: string): Promise<FaultProxy> {
  const [host = LOOPBACK, port = "0"] = target.split(":");
  const open = new Set<Connection>();
  let treatment: Treatment = { kind: "passing" };

  const server = createServer((client) => {
    const connection: Connection = {
      client,
      upstream: connect(Number(port), host),
      hasLost: false,
    };
    open.add(connection);
    if (treatment.kind === "resetting") reset(connection);
    join(connection, () => treatment);
    client.once("close", () => open.delete(connection));
  });
  server.listen(0, LOOPBACK);
  await once(server, "listening");
  return {
    address: `${LOOPBACK}:${(server.address() as AddressInfo).port}`,
    treat(next) {
      treatment = next;
      // A stream that lost bytes must not go on.
      const isOver = (connection: Connection) =>
        next.kind === "resetting" || connection.hasLost;
      for (const connection of open) {
        if (isOver(connection)) reset(connection);
      }
    },
    close() {
      server.close();
      for (const connection of open) reset(connection);
    },
  };
}

type Connection = { client: Socket; upstream: Socket; hasLost: boolean };

function join(connection: Connection, treatment: () => Treatment): void {
  const { client, upstream } = connection;
  client.on("data", (data) => {
    pass(connection, upstream, data, treatment(), "call");
  });
  upstream.on("data", (data) => {
    pass(connection, client, data, treatment(), "answer");
  });
  for (const [socket, other] of [[client, upstream], [upstream, client]]) {
    // Whatever ends one side ends the other; nothing else is to be done.
    socket!.on("error", () => other!.destroy());
    socket!.on("close", () => other!.destroy());
  }
}

function pass(
  connection: Connection,
  to: Socket,
  data: Uint8Array,
  treatment: Treatment,
  direction: "call" | "answer",
): void {
  switch (treatment.kind) {
    case "passing":
    case "resetting":
      to.write(data);
      return;
    case "delaying":
      setTimeout(() => to.write(data), treatment.delayMs);
      return;
    case "silent":
      connection.hasLost = true;
      return;
    case "losingAnswers":
      if (direction === "call") to.write(data);
      else connection.hasLost = true;
  }
}

function reset({ client, upstream }: Connection): void {
  client.resetAndDestroy();
  upstream.resetAndDestroy();
}
