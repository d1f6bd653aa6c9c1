import { createServer } from "node:net";
import process from "node:process";

/** The range lies below the ephemeral ports of the operating system. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
const PORTS_PER_PROCESS = 40;

/**
 * Finds ports of 127.0.0.1 that nothing listens on. Each process searches from
 * a different start, and the range holds no ephemeral ports, so the ports
 * should still be free when they are used.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const start = process.pid * PORTS_PER_PROCESS;
  const ports: number[] = [];
  for (let index = 0; ports.length < count; index += 1) {
    const port = FIRST_PORT + (start + index) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
