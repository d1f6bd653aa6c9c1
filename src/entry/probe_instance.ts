import { probeAddress } from "../clients/mod.ts";

/** How long opening a connection may take, in milliseconds. */
const PROBE_TIMEOUT_MS = 120;

/** Tells whether an entry instance listens at its address, `IP:port`. */
export async function probeInstance(address: string): Promise<boolean> {
  const colon = address.lastIndexOf(":");
  const port = Number(address.slice(colon + 1));
  return await probeAddress(address.slice(0, colon), port, PROBE_TIMEOUT_MS);
}
