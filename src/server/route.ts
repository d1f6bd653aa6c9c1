import type { HttpResponse } from "./http_response.ts";

/** A parsed HTTP request that is passed to routes. */
export type RouteCall = {
  method: string;
  /** Decoded segments of the path, without the empty one before the first /. */
  path: string[];
  query: URLSearchParams;
  headers: Record<string, string | string[] | undefined>;
  /**
   * Reads the body as JSON.
   *
   * @throws {RefusedCall} with the error response if the body cannot be read
   */
  body(): Promise<unknown>;
};

/** Handles a request, or returns undefined for a path of another route. */
export type Route = (
  call: RouteCall,
) => Promise<HttpResponse | undefined> | HttpResponse | undefined;
