import type { InstanceView } from "../../api/mod.ts";
import { type FakeResponse, PLACEHOLDER_URL } from "./fake_instance.ts";

/**
 * Builds a canned status response. By default the instance has no peers and
 * owns no domains; `overrides` replace single fields.
 */
export function fakeStatusResponse(
  overrides: Partial<InstanceView>,
): FakeResponse {
  const body: InstanceView = {
    instance: "kigali-1",
    incarnation: "i4",
    zone: "kigali",
    address: "10.1.0.11:8003",
    url: PLACEHOLDER_URL,
    ready: true,
    version: 41,
    members: [],
    domains: [],
    leaving: false,
    ...overrides,
  };
  return { call: "GET /v1/operator/status", status: 200, body };
}
