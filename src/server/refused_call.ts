import type { HttpResponse } from "./http_response.ts";

/** Thrown to end the handling of a call with an error response. */
export class RefusedCall extends Error {
  /** The response to send. */
  readonly response: HttpResponse;

  constructor(response: HttpResponse) {
    super(`refused with status ${response.status}`);
    this.response = response;
  }
}
