/**
 * Authentication of customers and operators by bearer token.
 *
 * @module
 */
import { equalSecrets } from "../base/mod.ts";
import { diagnostics } from "../diagnostics/mod.ts";
import { refusal } from "./problem_document.ts";
import { RefusedCall } from "./refused_call.ts";
import type { RouteCall } from "./route.ts";

const UNAUTHORIZED = 401;
const FORBIDDEN = 403;

/** The bearer tokens that are accepted. */
export type Credentials = {
  /** Tokens by customer name. */
  customers: Record<string, string[]>;
  /** Token by operator name. */
  operators: Record<string, string>;
};

/**
 * Returns the customer whose bearer token a call carries.
 *
 * @throws {RefusedCall} with status 401 if the token is missing or unknown
 */
export function authenticateCustomer(
  call: RouteCall,
  credentials: Credentials,
): string {
  const token = bearerToken(call);
  for (const [customer, tokens] of Object.entries(credentials.customers)) {
    if (tokens.some((known) => equalSecrets(known, token))) return customer;
  }
  throw new RefusedCall(
    refusal(UNAUTHORIZED, diagnostics.unauthenticated),
  );
}

/**
 * Returns the operator whose bearer token a call carries.
 *
 * @throws {RefusedCall} with status 401 if the token is missing or unknown, or
 * 403 if it is a customer's
 */
export function authenticateOperator(
  call: RouteCall,
  credentials: Credentials,
): string {
  const token = bearerToken(call);
  for (const [operator, known] of Object.entries(credentials.operators)) {
    if (equalSecrets(known, token)) return operator;
  }
  authenticateCustomer(call, credentials);
  throw new RefusedCall(refusal(FORBIDDEN, diagnostics.forbidden));
}

/**
 * Returns whether a call carries the given bearer token.
 *
 * @throws {RefusedCall} with status 401 if the call carries no bearer token
 */
export function hasBearerToken(call: RouteCall, token: string): boolean {
  return equalSecrets(bearerToken(call), token);
}

function bearerToken(call: RouteCall): string {
  const header = call.headers["authorization"];
  if (typeof header !== "string" || !header.startsWith("Bearer ")) {
    throw new RefusedCall(
      refusal(UNAUTHORIZED, diagnostics.unauthenticated),
    );
  }
  return header.slice("Bearer ".length).trim();
}
