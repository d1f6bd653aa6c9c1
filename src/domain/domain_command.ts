/** An order to a worker. It leaves after its cause is in the store. */
export type WorkerOrder =
  | {
    kind: "start";
    worker: string;
    task: string;
    attempt: number;
    specification: string;
    ticket: string | undefined;
    checkpoint: string | undefined;
  }
  | { kind: "stop"; worker: string; task: string; attempt: number }
  | {
    kind: "pace";
    worker: string;
    task: string;
    attempt: number;
    percent: number;
  };

/** What a domain asks its driver to do. */
export type DomainCommand =
  | { kind: "order"; order: WorkerOrder }
  /** Answers a call once everything before it is in the store. */
  | { kind: "answer"; call: number; answer: CallAnswer }
  /** The store has to confirm the state before these ends are acknowledged. */
  | { kind: "acknowledge"; worker: string; bornMs: number; lastEnd: number }
  /** One line of the log about a decision. */
  | {
    kind: "report";
    sentence: string;
    fields: Record<string, string | number>;
  };

/** The answer to a call that changes a job. */
export type CallAnswer =
  | { kind: "accepted" }
  | { kind: "unknownJob" };
