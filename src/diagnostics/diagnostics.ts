import type {
  DiagnosticCategory,
  DiagnosticMessage,
} from "./diagnostic_message.ts";

/**
 * All messages that users and API clients may see, by name. A code is never
 * reused for another message. Codes are grouped: 1xxx settings and manifest,
 * 2xxx calls between processes, 3xxx the caller API, 4xxx placement, 5xxx
 * recovery, 6xxx the command line.
 */
export const diagnostics = {
  settingMissing: error(1001, "[{0}] {1} is missing; allowed: {2}."),
  settingInvalid: error(1002, '[{0}] {1} is "{2}"; allowed: {3}.'),
  settingUnknown: error(1003, "[{0}] {1} is not a known key; allowed: {2}."),
  sectionUnknown: error(1004, "[{0}] is not a known section; allowed: {1}."),
  settingsUnreadable: error(1005, "The settings {0} cannot be read: {1}."),
  variableUnknown: error(
    1006,
    "The variable {0} names no setting; allowed: {1}.",
  ),
  manifestInvalid: error(1101, "The manifest is invalid at {0}: {1}."),
  manifestUnreadable: error(1102, "The manifest {0} cannot be read: {1}."),
  manifestConflict: error(
    1103,
    "Change {0} was built on version {1}, but version {2} is in force.",
  ),
  manifestTooLarge: error(
    1104,
    "A record of the manifest takes {0} bytes, more than the {1} that the store accepts.",
  ),
  peerUnreachable: error(2001, "{0} cannot be reached: {1}."),
  callTimedOut: error(2002, "{0} did not answer within {1} ms."),
  answerInvalid: error(2004, "{0} sent an answer that cannot be read: {1}."),
  callRefused: error(2005, "{0} refused the call with status {1}: {2}."),
  connectionLost: error(2010, "The connection to {0} was lost: {1}."),
  bodyTooLarge: error(3001, "The body is larger than {0} bytes."),
  bodyUnreadable: error(3002, "The body cannot be read as JSON: {0}."),
  submissionInvalid: error(3003, "The submission is invalid at {0}: {1}."),
  unauthenticated: error(3004, "The token is missing or not known."),
  agreementUnknown: error(
    3005,
    'Customer {0} has no agreement "{1}" in force.',
  ),
  workUnknown: error(3006, 'Agreement "{0}" has no kind of work "{1}".'),
  requestIdInvalid: error(3007, "The request id is not one of yours."),
  requestConflict: error(
    3008,
    "The request id was already used for another submission.",
  ),
  pathUnknown: error(3009, "There is nothing at {0}."),
  methodNotAllowed: error(3010, "{0} is not allowed at {1}."),
  instanceStopping: error(
    3011,
    "The instance is stopping; this call ran nothing.",
  ),
  instanceNotReady: error(3012, "The instance is not ready: {0}."),
  timedOut: error(3015, "The request was not read within {0} ms."),
  forbidden: error(3016, "The token does not allow this."),
  notStored: error(
    3017,
    "The request was not stored: {0}; this call ran nothing.",
  ),
  queueUnknown: error(3018, 'No queue is named "{0}".'),
  clientAccountUnknown: error(3019, 'No client account is named "{0}".'),
  ownerUnavailable: error(
    3020,
    "The owner of the domain cannot be asked: {0}.",
  ),
  bodyTooSlow: error(
    3021,
    "The body arrived too slowly; this call ran nothing.",
  ),
  bodyMemoryFull: error(
    3022,
    "The bodies of all clients take too much memory; this call ran nothing.",
  ),
  unschedulable: error(
    4001,
    "None of the {0} listed workers can ever hold one of the tasks; nothing was run.",
  ),
  deadlinePassed: error(4002, "The start deadline passed; nothing was run."),
  gangTooLarge: error(
    4003,
    "The gang has {0} tasks; all listed workers together hold {1} of them; nothing was run.",
  ),
  cancelled: message(4004, "The request was cancelled before it ran."),
  waitingToStart: message(5004, "The request waits to start."),
  stillRunning: message(5005, "The request is running."),
  publishUndecided: error(
    5008,
    "The store did not answer; the change may still take effect.",
  ),
  notSubmitted: message(5006, "Nothing was submitted under this id yet."),
  usageInvalid: error(6001, "{0}"),
} as const satisfies Record<string, DiagnosticMessage>;

function error<const T extends string>(
  code: number,
  template: T,
): DiagnosticMessage & { template: T } {
  return defineDiagnostic(code, "error", template);
}

function message<const T extends string>(
  code: number,
  template: T,
): DiagnosticMessage & { template: T } {
  return defineDiagnostic(code, "message", template);
}

function defineDiagnostic<const T extends string>(
  code: number,
  category: DiagnosticCategory,
  template: T,
): DiagnosticMessage & { template: T } {
  return { code, category, template };
}
