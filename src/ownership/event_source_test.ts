import assert from "node:assert/strict";
import { it } from "node:test";
import { createEventSource } from "./event_source.ts";

it("an event emitted before the stream is observed is not lost", async () => {
  const source = createEventSource<number>();
  const seen: number[] = [];
  source.stream.observe((event) => {
    seen.push(event);
  });
  source.emit(1);
  source.emit(2);
  await new Promise((resolve) => setTimeout(resolve, 0));
  source.emit(3);
  assert.deepEqual(seen, [1, 2, 3]);
});
