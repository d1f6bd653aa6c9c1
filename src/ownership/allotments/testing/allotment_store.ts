import { err, ok, type Result } from "neverthrow";
import type {
  Clock,
  ExpectedEnd,
  KeyedRecord,
  RecordPage,
  StoreFault,
  StoreHost,
} from "../../../hosts/mod.ts";

/** A call to the store whose effect and answer the model decides on. */
export type PendingCall = {
  /** Carries the call out, and answers it. */
  answer(): void;
  /** Answers that the outcome is unknown; it may be carried out later. */
  loseAnswer(): void;
  /** Carries the call out without an answer. */
  execute(): void;
  /** Refuses the call. */
  refuse(): void;
  /** Whether it waits for a record that is not there yet. */
  isIdle(): boolean;
};

/** A store with one partition, whose calls wait until the model goes on. */
export type AllotmentStore = {
  log: KeyedRecord[];
  calls: Set<PendingCall>;
  /** The store as an owner reaches it. */
  host: StoreHost;
};

/**
 * Creates an empty store.
 *
 * @param keepsCondition whether appends have to meet their expected end
 */
export function createAllotmentStore(
  clock: Clock,
  keepsCondition: boolean,
): AllotmentStore {
  const log: KeyedRecord[] = [];
  const calls = new Set<PendingCall>();

  function call<Value>(
    execute: () => Result<Value, StoreFault>,
    isIdle = () => false,
  ): Promise<Result<Value, StoreFault>> {
    return new Promise((resolve) => {
      const end = (result: Result<Value, StoreFault>) => {
        calls.delete(pending);
        resolve(result);
      };
      const pending: PendingCall = {
        answer: () => end(execute()),
        loseAnswer: () => end(failure("unknown")),
        execute: () => void execute(),
        refuse: () => end(failure("unavailable")),
        isIdle,
      };
      calls.add(pending);
    });
  }

  function append(
    records: KeyedRecord[],
    condition: ExpectedEnd,
  ): Result<void, StoreFault> {
    if (keepsCondition && condition.atOffset !== log.length) {
      return failure("moved");
    }
    log.push(...records);
    return ok(undefined);
  }

  const page = (from: number): Result<RecordPage, StoreFault> =>
    ok({ records: log.slice(from), nextOffset: log.length });

  const host = {
    append: (_partition, records, condition) =>
      call(() => append(records, condition as ExpectedEnd)),
    newest: () => call(() => page(0)),
    read(_partition, from, waitMs) {
      const untilMs = clock.steadyMs() + waitMs;
      return call(
        () => page(from),
        () => from >= log.length && clock.steadyMs() < untilMs,
      );
    },
  } as Partial<StoreHost> as StoreHost;
  return { log, calls, host };
}

function failure<Value>(kind: StoreFault["kind"]): Result<Value, StoreFault> {
  return err({ kind, step: "store", message: "simulated" });
}
