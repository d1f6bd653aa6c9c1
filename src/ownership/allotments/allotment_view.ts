import type { KeyedRecord, RecordPage } from "../../hosts/mod.ts";
import type { Resources } from "../../model/mod.ts";
import {
  type Allotment,
  type AllotmentRecord,
  applyAllotmentRecords,
} from "./allotment_records.ts";

/** What an owner knows of the allotments in the store. */
export type AllotmentView = {
  /** Where the partition ends as far as it was read; undefined before that. */
  offset: number | undefined;
  /** When the last call that was answered was sent, on the steady clock. */
  confirmedAtMs: number;
  /** By partition of the domain. */
  records: Map<number, AllotmentRecord>;
  /**
   * Writes of this owner that may take effect: each does so at its offset, or
   * never.
   */
  undecided: { atOffset: number; accounts: Map<string, Allotment> }[];
};

/** Creates the view of an owner that has read nothing. */
export function createAllotmentView(): AllotmentView {
  return {
    offset: undefined,
    confirmedAtMs: -Infinity,
    records: new Map(),
    undecided: [],
  };
}

/**
 * Replaces the view by a snapshot.
 *
 * @returns the keys of unreadable records
 */
export function replaceView(view: AllotmentView, page: RecordPage): string[] {
  if (view.offset !== undefined && page.nextOffset < view.offset) return [];
  view.records.clear();
  return extend(view, page.records, page.nextOffset);
}

/**
 * Adds the records that a read has returned. One that ends before the view does
 * is out of date, since the owner has written in between.
 *
 * @returns the keys of unreadable records
 */
export function extendView(view: AllotmentView, page: RecordPage): string[] {
  if (page.nextOffset <= (view.offset ?? 0)) return [];
  return extend(view, page.records, page.nextOffset);
}

function extend(
  view: AllotmentView,
  records: KeyedRecord[],
  nextOffset: number,
): string[] {
  view.offset = nextOffset;
  // The partition goes on after their offsets, so they have been decided.
  view.undecided = view.undecided.filter(({ atOffset }) =>
    atOffset >= nextOffset
  );
  return applyAllotmentRecords(view.records, records);
}

/**
 * What a domain certainly holds of an account, whichever of the undecided writes
 * of its owner takes effect.
 */
export function certainlyHeld(
  { records, undecided }: AllotmentView,
  partition: number,
  account: string,
  combine: (left: Resources, right: Resources) => Resources,
  none: Resources,
): Resources {
  const stored = records.get(partition)?.accounts.get(account)?.held ?? none;
  return undecided.reduce(
    (least, { accounts }) =>
      combine(least, accounts.get(account)?.held ?? none),
    stored,
  );
}
