import type { HttpAnswer } from "./http_answer.ts";

/** Ends the handling of a call early, with the answer to send. */
export class RefusedCall extends Error {
  /** The answer to send. */
  readonly answer: HttpAnswer;

  /** Ends the handling with an answer. */
  constructor(answer: HttpAnswer) {
    super(`refused with status ${answer.status}`);
    this.answer = answer;
  }
}
