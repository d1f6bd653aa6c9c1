import * as v from "valibot";

/** Schema of a request id as callers see it. */
export const requestIdSchema = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9-]+\.[a-z0-9-]+\.[a-z0-9]+\.[0-9]+\.[A-Za-z0-9_-]{16}$/),
);

/**
 * A request id in text: zone, instance, incarnation, sequence number and
 * signature, joined by dots.
 */
export type RequestId = string;

/** The incarnation of one entry instance: a new one at each start. */
export type Incarnation = string;

/** The home of a request: the incarnation that issued its id. */
export type Home = {
  zone: string;
  instance: string;
  incarnation: Incarnation;
};
