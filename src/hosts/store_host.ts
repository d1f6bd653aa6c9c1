import type { Result } from "neverthrow";

/** Why a call to the store failed, and what is known about its effect. */
export type StoreFault = {
  kind:
    /** A writer with a higher epoch exists; this writer must stop. */
    | "fenced"
    /** The append's sequence number does not follow the last one. */
    | "sequence"
    /** The partition does not end at the offset that the append expects. */
    | "moved"
    /** The requested records are no longer retained. */
    | "trimmed"
    /** The store did not execute the call, and never will. */
    | "rejected"
    /** The store did not execute the call. */
    | "unavailable"
    /** The call may have taken effect, or may still do so. */
    | "unknown";
  /** The operation that failed, such as `store.append`. */
  step: string;
  message: string;
  /** The sequence number that the store expects of the next append. */
  expectedSequence?: number;
  /** The keys of the records for which an append was rejected, if known. */
  rejectedKeys?: string[];
};

/** One partition of a topic. */
export type Partition = { topic: string; number: number };

/** Fencing of a writer: the store refuses appends of a lower epoch. */
export type Fence = { epoch: number; sequence: number };

/** The append is refused unless the partition ends at this offset. */
export type ExpectedEnd = { atOffset: number };

/** A record of a keyed topic. */
export type KeyedRecord = {
  key: string;
  /** Undefined marks the key as removed. */
  value: string | undefined;
};

/** Consecutive records of a partition. */
export type RecordPage = {
  records: KeyedRecord[];
  /** The offset at which to continue reading. */
  nextOffset: number;
  /** Whether more records had been appended than the answer holds. */
  hasMore?: boolean;
};

/** The partitions assigned to a member of a group. */
export type Assignment = {
  /** Increases with each change of the group. */
  generation: number;
  partitions: Partition[];
};

/** The platform's store: logs with fenced appends, and consumer groups. */
export type StoreHost = {
  /**
   * Appends records to a keyed partition atomically. Appends with a fence are
   * idempotent: a repeat with the same fence has no further effect. An append
   * with an expected end has an effect only if its writer has read everything
   * before it, also if the store executes it late; a repeat is refused.
   */
  append(
    partition: Partition,
    records: KeyedRecord[],
    condition: Fence | ExpectedEnd | undefined,
    signal: AbortSignal,
  ): Promise<Result<void, StoreFault>>;
  /**
   * Reads records starting at an offset; waits up to `waitMs` milliseconds for
   * new ones.
   */
  read(
    partition: Partition,
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<RecordPage, StoreFault>>;
  /** Reads the latest record of each key, and the offset to continue from. */
  newest(
    partition: Partition,
    signal: AbortSignal,
  ): Promise<Result<RecordPage, StoreFault>>;
  /** Joins a group, or renews the membership. */
  join(
    member: GroupMember,
    generation: number,
    signal: AbortSignal,
  ): Promise<Result<Assignment, StoreFault>>;
  /** Leaves a group; its partitions are reassigned immediately. */
  leave(
    member: GroupMember,
    signal: AbortSignal,
  ): Promise<Result<void, StoreFault>>;
  /** Returns the member that holds each assigned partition of the group. */
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
  /** How long a member that does not renew keeps its partitions, in ms. */
  ttlMs: number;
};
