import type { AcquireCommand, RenewCommand, Yielding } from "../hosts/mod.ts";
import type { LogRecord } from "../log_state/mod.ts";
import type { Task, TaskId, WorkerAddress } from "../model/mod.ts";
import type { PeerMessage } from "./peer_message.ts";

/** Something a flow waits for. The driver performs it and reports back. */
export type Effect =
  | { kind: "sleep"; delayMs: number }
  /** Waits for a notice on a topic; the driver only runs the time-out. */
  | { kind: "notice"; topic: string; timeoutMs: number }
  | { kind: "acquire"; worker: WorkerAddress; command: AcquireCommand }
  | { kind: "renew"; worker: WorkerAddress; command: RenewCommand }
  | { kind: "start"; worker: WorkerAddress; token: number; task: Task }
  | {
    kind: "yield";
    worker: WorkerAddress;
    token: number;
    taskId: TaskId;
    yielding: Yielding;
  }
  | { kind: "peer"; url: string; message: PeerMessage; timeoutMs: number }
  /** Appends one record; the driver joins appends into batches. */
  | { kind: "append"; record: LogRecord }
  | { kind: "readLog"; fromOffset: number; waitMs: number }
  | { kind: "readList" };
