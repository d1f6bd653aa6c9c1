/**
 * What one reading of the instance list costs, by the workers that it lists.
 * The server that sends the same text each time runs in this process too.
 *
 * @module
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import {
  createHttpCaller,
  createInstanceListClient,
} from "../../src/clients/mod.ts";
import { printTable, type Row } from "./print_table.ts";

const WORKERS = [100, 300, 1_000, 3_000];
const WARM_READS = 50;
const READS = 200;
const US_PER_MS = 1_000;
const TIMEOUT_MS = 5_000;

/** Measures and prints the table. */
export async function measureListCost(): Promise<void> {
  const rows: Row[] = [];
  for (const workers of WORKERS) rows.push(await listCost(workers));
  printTable("One reading of the instance list", "workers", rows);
}

async function listCost(workers: number): Promise<Row> {
  const text = listOf(workers);
  const server = createServer((_request, response) => response.end(text));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const caller = createHttpCaller({
    connectionsPerOrigin: 1,
    connectTimeoutMs: TIMEOUT_MS,
  });
  const list = createInstanceListClient(caller, {
    url: `http://127.0.0.1:${port}`,
    timeoutMs: TIMEOUT_MS,
  });
  const { signal } = new AbortController();
  for (let read = 0; read < WARM_READS; read += 1) await list.read(signal);
  const before = process.cpuUsage();
  for (let read = 0; read < READS; read += 1) await list.read(signal);
  const { user, system } = process.cpuUsage(before);
  await caller.close();
  server.closeAllConnections();
  server.close();
  const processorMs = (user + system) / US_PER_MS / READS;
  return { size: workers, values: { bytes: text.length, processorMs } };
}

function listOf(workers: number): string {
  return JSON.stringify({
    asOfMs: Date.UTC(2026, 11, 4),
    instances: [],
    workers: Array.from({ length: workers }, (_, index) => ({
      id: `worker-${index}`,
      url: `http://127.0.0.1:${20_000 + index}`,
      zone: `zone-${index % 6 + 1}`,
      region: `region-${index % 2 + 1}`,
      rack: `rack-${index % 40}`,
      leaving: false,
    })),
  });
}
