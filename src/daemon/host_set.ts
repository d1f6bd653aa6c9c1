import type { Result } from "neverthrow";
import type {
  Clock,
  Fault,
  InstanceListHost,
  LogHost,
  WorkerHost,
} from "../hosts/mod.ts";

/** Everything outside the process that a driver reaches. */
export type HostSet = {
  clock: Clock;
  workers: WorkerHost;
  log: LogHost;
  list: InstanceListHost;
  /** Calls a method of another entry instance. */
  callPeer(
    url: string,
    method: string,
    params: object,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<unknown, Fault>>;
};
