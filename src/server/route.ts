import type { HttpResponse } from "./http_response.ts";

/** A call as a route sees it. */
export type RouteCall = {
  method: string;
  /** The path, split at its slashes and decoded, without the empty first. */
  path: string[];
  query: URLSearchParams;
  headers: Record<string, string | string[] | undefined>;
  /** Reads the body as JSON; answers by itself if that fails. */
  body(): Promise<unknown>;
};

/** Answers a call, or returns undefined for paths that are not its own. */
export type Route = (
  call: RouteCall,
) => Promise<HttpResponse | undefined> | HttpResponse | undefined;
