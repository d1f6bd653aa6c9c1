import type { Result } from "neverthrow";

/** Why a call to the store failed, and what is known of its effect. */
export type StoreFault = {
  kind:
    /** A writer with a higher epoch exists; this one must stop. */
    | "fenced"
    /** The number of the append does not follow the last one. */
    | "sequence"
    /** The records asked for are no longer kept. */
    | "trimmed"
    /** The store did nothing. */
    | "unavailable"
    /** The call may have taken effect, or may yet. */
    | "unknown";
  /** What was being done, such as `store.append`. */
  step: string;
  message: string;
  /** The number that the next append of the writer has to have. */
  expectedSequence?: number;
};

/** One partition of a topic. */
export type Partition = { topic: string; number: number };

/** Fences a writer: appends of a lower epoch are refused. */
export type Fence = { epoch: number; sequence: number };

/** A record of a keyed topic. */
export type KeyedRecord = {
  key: string;
  /** Undefined removes the key. */
  value: string | undefined;
};

/** A stretch of a partition. */
export type RecordPage = {
  records: KeyedRecord[];
  /** The offset to read on from. */
  nextOffset: number;
};

/** What a member of a group holds. */
export type Assignment = {
  /** Rises with each change in the group. */
  generation: number;
  partitions: Partition[];
};

/** The platform's store: logs with fenced appends, and groups of members. */
export type StoreHost = {
  /**
   * Appends records to a keyed partition, all or none. A repeat with the same
   * fence has no second effect.
   */
  append(
    partition: Partition,
    records: KeyedRecord[],
    fence: Fence | undefined,
    signal: AbortSignal,
  ): Promise<Result<void, StoreFault>>;
  /** Reads what was appended from an offset on. */
  read(
    partition: Partition,
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RecordPage, StoreFault>>;
  /** Reads the newest record of each key, and where to read on. */
  newest(
    partition: Partition,
    signal: AbortSignal,
  ): Promise<Result<RecordPage, StoreFault>>;
  /** Joins a group, or stays in it. */
  join(
    member: GroupMember,
    generation: number,
    signal: AbortSignal,
  ): Promise<Result<Assignment, StoreFault>>;
  /** Leaves a group; its partitions go to others at once. */
  leave(
    member: GroupMember,
    signal: AbortSignal,
  ): Promise<Result<void, StoreFault>>;
  /** The member that holds each partition of the group. */
  owners(
    group: string,
    signal: AbortSignal,
  ): Promise<Result<{ partition: Partition; member: string }[], StoreFault>>;
};

/** A member of a group. */
export type GroupMember = {
  group: string;
  member: string;
  topic: string;
  /** How long a silent member keeps its partitions, in milliseconds. */
  ttlMs: number;
};
