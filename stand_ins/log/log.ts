import * as v from "valibot";
import { diagnostics } from "../../src/diagnostics/mod.ts";
import type { LogEntry, LogPage } from "../../src/hosts/mod.ts";
import {
  accept,
  type Answer,
  type Call,
  createJsonServer,
  faultControlEntries,
  type JsonServer,
  refuse,
  waitForWake,
} from "../base/mod.ts";

const MAX_ENTRIES_PER_PAGE = 1_000;

const appendSchema = v.object({ data: v.array(v.unknown()) });

/** Schema of a control call to the log. */
export const logControlSchema = v.strictObject({
  ...faultControlEntries,
  /** Drops every entry below this offset. */
  trimTo: v.optional(v.number()),
});

/** A change of what the log shows. */
export type LogControl = v.InferOutput<typeof logControlSchema>;

/** Options of the log. */
export type LogOptions = { seed?: number };

/** What the log has seen, for tests. */
export type LogAudit = { appends: number; reads: number; page: LogPage };

/** The log service's stand-in. */
export type Log = JsonServer<LogControl> & { audit(): LogAudit };

type State = {
  entries: LogEntry[];
  firstOffset: number;
  nextOffset: number;
  appends: number;
  reads: number;
  waiters: Set<() => void>;
};

/**
 * Builds the log's stand-in, which keeps its entries in memory.
 *
 * @example
 * ```ts
 * const log = createLog({});
 * const url = await log.listen(0);
 * ```
 */
export function createLog(options: LogOptions): Log {
  const state: State = {
    entries: [],
    firstOffset: 0,
    nextOffset: 0,
    appends: 0,
    reads: 0,
    waiters: new Set(),
  };
  const audit = () => auditOf(state);
  const server = createJsonServer<LogControl>({
    seed: options.seed ?? 1,
    handle: (call) => handle(state, call),
    parseControl: (body) => v.parse(logControlSchema, body),
    control: (control) => trim(state, control.trimTo),
    audit,
  });
  return { ...server, audit };
}

function handle(state: State, call: Call): Promise<Answer> | Answer {
  switch (`${call.method} ${call.path}`) {
    case "POST /v1/append":
      return append(state, call);
    case "GET /v1/read":
      return read(state, call);
    default:
      return refuse(404, diagnostics.pathUnknown, [call.path]);
  }
}

function append(state: State, call: Call): Answer {
  const parsed = v.safeParse(appendSchema, call.body);
  if (!parsed.success) {
    return refuse(400, diagnostics.bodyUnreadable, ["data is missing"]);
  }
  const offset = state.nextOffset;
  const atMs = Date.now();
  for (const data of parsed.output.data) {
    state.entries.push({ offset: state.nextOffset, atMs, data });
    state.nextOffset += 1;
  }
  state.appends += 1;
  for (const wake of [...state.waiters]) wake();
  return accept({ offset });
}

async function read(state: State, call: Call): Promise<Answer> {
  const from = Number(call.query.get("from") ?? 0);
  const waitMs = Number(call.query.get("waitMs") ?? 0);
  state.reads += 1;
  if (from >= state.nextOffset && waitMs > 0) {
    await waitForWake(state.waiters, waitMs, call.signal);
  }
  return accept(pageFrom(state, from));
}

function pageFrom(state: State, from: number): LogPage {
  const start = Math.max(0, from - state.firstOffset);
  return {
    entries: state.entries.slice(start, start + MAX_ENTRIES_PER_PAGE),
    firstOffset: state.firstOffset,
    nextOffset: state.nextOffset,
  };
}

function trim(state: State, trimTo: number | undefined): void {
  if (trimTo === undefined || trimTo <= state.firstOffset) return;
  const bounded = Math.min(trimTo, state.nextOffset);
  state.entries.splice(0, bounded - state.firstOffset);
  state.firstOffset = bounded;
}

function auditOf(state: State): LogAudit {
  const page = {
    entries: state.entries,
    firstOffset: state.firstOffset,
    nextOffset: state.nextOffset,
  };
  return { appends: state.appends, reads: state.reads, page };
}
