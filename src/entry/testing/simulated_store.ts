import { err, ok, type Result } from "neverthrow";
import type {
  Assignment,
  Clock,
  ExpectedEnd,
  Fence,
  KeyedRecord,
  Partition,
  Randomness,
  StoreFault,
  StoreHost,
} from "../../hosts/mod.ts";

/** The longest time of one way to the store, in milliseconds. */
const MAX_WAY_MS = 30;
/** The longest time after which a call without an answer takes effect, in ms. */
const MAX_LATE_MS = 3_000;

/** Which of the calls to a simulated store fail: one in so many. */
export type StoreFaultOdds = {
  refused: number;
  /** Answers that are lost; some of the calls take effect, some seconds later. */
  unanswered: number;
};

/** A store whose calls take random times and fail at random. */
export type SimulatedStore = {
  /** The store as one instance reaches it. */
  host: StoreHost;
  /** The newest record of each key. */
  newestOf(partition: Partition): KeyedRecord[];
  /** The member that is to own each partition. */
  members: Map<number, string>;
};

type Log = {
  newest: Map<string, string>;
  /** All records in order, which reads return. */
  records: KeyedRecord[];
  epoch: number;
  sequence: number;
};

/**
 * Creates an empty store.
 *
 * @example
 * ```ts
 * const store = createSimulatedStore(clock, random, { refused: 50, unanswered: 50 });
 * ```
 */
export function createSimulatedStore(
  clock: Clock,
  random: Randomness,
  odds: StoreFaultOdds,
): SimulatedStore {
  const logs = new Map<string, Log>();
  const members = new Map<number, string>();

  function logOf({ topic, number }: Partition): Log {
    const name = `${topic}/${number}`;
    const log = logs.get(name) ??
      { newest: new Map(), records: [], epoch: -1, sequence: -1 };
    logs.set(name, log);
    return log;
  }

  const newestOf = (partition: Partition) =>
    [...logOf(partition).newest].map(([key, value]) => ({ key, value }));

  function append(
    partition: Partition,
    records: KeyedRecord[],
    fence: Fence | ExpectedEnd | undefined,
  ): Result<void, StoreFault> {
    const log = logOf(partition);
    if (fence !== undefined && "atOffset" in fence) {
      if (fence.atOffset !== log.records.length) return failure("moved");
    } else if (fence !== undefined) {
      if (fence.epoch < log.epoch) return failure("fenced");
      if (fence.epoch > log.epoch) log.sequence = fence.sequence - 1;
      log.epoch = fence.epoch;
      // A repeat gets the first answer again.
      if (fence.sequence <= log.sequence) return ok(undefined);
      if (fence.sequence !== log.sequence + 1) return failure("sequence");
      log.sequence = fence.sequence;
    }
    log.records.push(...records);
    for (const { key, value } of records) {
      if (value === undefined) log.newest.delete(key);
      else log.newest.set(key, value);
    }
    return ok(undefined);
  }

  /** Carries out a call after a random time, and answers after another one. */
  async function call<Value>(
    execute: () => Result<Value, StoreFault>,
    signal: AbortSignal,
  ): Promise<Result<Value, StoreFault>> {
    const way = () => clock.sleep(random.integer(0, MAX_WAY_MS), signal);
    await way();
    if (random.integer(1, odds.refused) === 1) return failure("unavailable");
    if (random.integer(1, odds.unanswered) === 1) {
      const lateMs = random.integer(0, MAX_LATE_MS);
      clock.sleep(lateMs, signal).then(() =>
        random.integer(0, 2) > 0 && execute()
      );
      await clock.sleep(MAX_WAY_MS, signal);
      return failure("unknown");
    }
    const result = execute();
    await way();
    return signal.aborted ? failure("unknown") : result;
  }

  const host: StoreHost = {
    append: (partition, records, fence, signal) =>
      call(() => append(partition, records, fence), signal),
    newest: (partition, signal) =>
      call(() =>
        ok({
          records: newestOf(partition),
          nextOffset: logOf(partition).records.length,
        }), signal),
    read: () => Promise.resolve(failure("unavailable")),
    join: (_member, generation, signal) =>
      call(() => ok<Assignment>({ generation, partitions: [] }), signal),
    leave: (_member, signal) => call(() => ok(undefined), signal),
    owners: (_group, signal) =>
      call(() =>
        ok(
          [...members].map(([number, member]) => ({
            partition: { topic: "domains", number },
            member,
          })),
        ), signal),
  };
  return { host, newestOf, members };
}

function failure<Value>(
  kind: StoreFault["kind"],
): Result<Value, StoreFault> {
  return err({ kind, step: "store", message: "simulated" });
}
