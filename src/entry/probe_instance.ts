import { probeAddress } from "../clients/mod.ts";

/** Timeout for opening a connection, in milliseconds. */
const PROBE_TIMEOUT_MS = 120;

/** Whether an entry instance listens at its address, `IP:port`. */
export async function probeInstance(address: string): Promise<boolean> {
  const colon = address.lastIndexOf(":");
  const port = Number(address.slice(colon + 1));
  return await probeAddress(address.slice(0, colon), port, PROBE_TIMEOUT_MS);
}
