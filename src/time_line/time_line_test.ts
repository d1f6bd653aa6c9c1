import assert from "node:assert/strict";
import { test } from "node:test";
import { Script } from "node:vm";
import * as fc from "fast-check";
import type { TimeLineEvent } from "../model/mod.ts";
import {
  createTimeLine,
  eventsAfter,
  mergeTimeLines,
  observeLamport,
  recordEvent,
  renderTimeLineHtml,
  renderTimeLineText,
} from "./mod.ts";

const SEED = 20_261_204;
const AT_MS = Date.UTC(2026, 11, 1, 8, 30, 0, 25);

function createTestTimeLine(process: string, capacity = 100) {
  return createTimeLine({ process, incarnation: "1", capacity });
}

const actionArbitrary = fc.record({
  from: fc.nat(2),
  to: fc.nat(2),
  skewMs: fc.integer({ min: -5_000, max: 5_000 }),
});

test("time line: the merge puts every cause before its effects", () => {
  fc.assert(
    fc.property(fc.array(actionArbitrary, { maxLength: 40 }), (actions) => {
      const timeLines = ["a", "b", "c"].map((name) => createTestTimeLine(name));
      const causes: [TimeLineEvent, TimeLineEvent][] = [];
      const latest = new Map<string, TimeLineEvent>();
      const record = (index: number, skewMs: number, name: string) => {
        const timeLine = timeLines[index] ?? createTestTimeLine("unused");
        const event = recordEvent(timeLine, { atMs: AT_MS + skewMs, name });
        const before = latest.get(timeLine.process);
        if (before !== undefined) causes.push([before, event]);
        latest.set(timeLine.process, event);
        return event;
      };
      for (const { from, to, skewMs } of actions) {
        const sent = record(from, skewMs, "message.sent");
        const receiver = timeLines[to];
        if (receiver !== undefined) observeLamport(receiver, sent.lamport);
        causes.push([sent, record(to, -skewMs, "message.received")]);
      }
      const lists = timeLines.map((timeLine) =>
        eventsAfter(timeLine, 0).events
      );
      const merged = mergeTimeLines([...lists, ...lists]);
      assert.equal(merged.length, 2 * actions.length);
      for (const [cause, effect] of causes) {
        assert.ok(merged.indexOf(cause) < merged.indexOf(effect));
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test("time line: the oldest events are evicted beyond the capacity", () => {
  const timeLine = createTestTimeLine("a", 3);
  for (let index = 0; index < 8; index += 1) {
    recordEvent(timeLine, { atMs: AT_MS, name: "tick" });
  }
  const { events, last } = eventsAfter(timeLine, 0);
  assert.deepEqual(events.map(({ lamport }) => lamport), [6, 7, 8]);
  assert.equal(last, 8);
  assert.deepEqual(
    eventsAfter(timeLine, 7).events.map(({ lamport }) => lamport),
    [8],
  );
  assert.equal(timeLine.events.length, 3);
});

test("time line: invalid Lamport timestamps from peers are ignored", () => {
  const timeLine = createTestTimeLine("a");
  for (const value of [Number.NaN, Number.POSITIVE_INFINITY, 1.5, -4]) {
    observeLamport(timeLine, value);
  }
  assert.equal(timeLine.lamport, 0);
});

test("time line: text has one aligned line for each event", () => {
  const kigali = createTestTimeLine("kigali-1");
  const huye = createTestTimeLine("huye-1");
  const subject = "kigali.a.1.7.xyz/0";
  const sent = recordEvent(kigali, {
    atMs: AT_MS,
    name: "request.moved",
    subject,
    detail: "to huye-1",
  });
  observeLamport(huye, sent.lamport);
  recordEvent(huye, { atMs: AT_MS - 3, name: "task.started", subject });
  const lists = [kigali, huye].map((timeLine) =>
    eventsAfter(timeLine, 0).events
  );
  assert.equal(
    renderTimeLineText(mergeTimeLines(lists)),
    [
      "order  time          process   event          subject             detail",
      "    1  08:30:00.025  kigali-1  request.moved  kigali.a.1.7.xyz/0  to huye-1",
      "    2  08:30:00.022  huye-1    task.started   kigali.a.1.7.xyz/0",
      "",
    ].join("\n"),
  );
});

test("time line: the HTML page is self-contained, and events cannot inject markup", () => {
  const timeLine = createTestTimeLine("a");
  recordEvent(timeLine, {
    atMs: AT_MS,
    name: "task.started",
    subject: "</script><script>alert(1)</script>",
  });
  const page = renderTimeLineHtml(eventsAfter(timeLine, 0).events);
  assert.equal(page.match(/<script/g)?.length, 2);
  assert.equal(/(src|href)=|@import|url\(/.test(page), false);
  const [, json] = page.match(/id="events">(.*)<\/script>/) ?? [];
  assert.deepEqual(JSON.parse(json ?? ""), timeLine.events);
  const [, code] = page.match(/<script>([^]*)<\/script>/) ?? [];
  assert.doesNotThrow(() => new Script(code ?? "("));
});
