import assert from "node:assert/strict";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { describe, it } from "node:test";
import { parseBody, readBody } from "./read_body.ts";

const LIMITS = { maxBytes: 20, timeoutMs: 5_000 };

/** A request of which the stream and the headers are used. */
function createRequest(): { request: IncomingMessage; body: PassThrough } {
  const body = new PassThrough();
  const request = Object.assign(body, { headers: {} });
  return { request: request as unknown as IncomingMessage, body };
}

async function statusOf(request: IncomingMessage): Promise<number | undefined> {
  const result = await readBody(request, LIMITS);
  return result.isErr() ? result.error.status : undefined;
}

describe("the body of a request", () => {
  // Guards against SHORT: an owner that was behind was busy with short calls,
  // and iterated over the body of each.
  it("is read without an asynchronous iteration", async () => {
    const { request, body } = createRequest();
    let iterations = 0;
    body[Symbol.asyncIterator] = () => {
      iterations += 1;
      return PassThrough.prototype[Symbol.asyncIterator].call(body);
    };
    body.write('{"a":');
    body.end("[1]}");
    const result = await readBody(request, LIMITS);
    assert.deepEqual(result.andThen(parseBody)._unsafeUnwrap(), { a: [1] });
    assert.equal(iterations, 0);
  });

  it("is refused if it is too long, whatever its declared length", async () => {
    const { request, body } = createRequest();
    body.write("x".repeat(LIMITS.maxBytes));
    body.write("x");
    assert.equal(await statusOf(request), 413);
  });

  it("is incomplete if the caller disconnects", async () => {
    const { request, body } = createRequest();
    body.write("{");
    setImmediate(() => body.destroy());
    assert.equal(await statusOf(request), 408);
  });

  it("is incomplete if the caller has disconnected before", async () => {
    const { request, body } = createRequest();
    body.destroy();
    await once(body, "close");
    assert.equal(await statusOf(request), 408);
  });
});
