import type { Advice, AdviceHost, AdviceRequest } from "../hosts/mod.ts";
import type { Logger } from "../telemetry/mod.ts";

/** Asks the placement policy; logs a failure and returns undefined. */
export async function askPolicy(
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
