import type { Advice, AdviceHost, AdviceRequest } from "../hosts/mod.ts";
import type { Logger } from "../telemetry/mod.ts";

/** Requests advice from the placement policy; undefined after a logged failure. */
export async function requestAdvice(
  host: AdviceHost,
  question: AdviceRequest,
  logger: Logger,
  signal: AbortSignal,
): Promise<Advice | undefined> {
  const advice = await host.requestAdvice(question, signal);
  if (advice.isOk()) return advice.value;
  logger.part("domain").warn("The placement policy did not answer.", {
    step: question.stepKey,
    cause: advice.error,
  });
  return undefined;
}
