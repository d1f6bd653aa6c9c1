import type { HttpResponse } from "./http_response.ts";

/** Ends the handling of a call early, with the answer to send. */
export class RefusedCall extends Error {
  /** The answer to send. */
  readonly response: HttpResponse;

  /** Ends the handling with an answer. */
  constructor(answer: HttpResponse) {
    super(`refused with status ${answer.status}`);
    this.response = answer;
  }
}
