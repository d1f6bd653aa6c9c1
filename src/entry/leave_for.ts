import type { Result } from "neverthrow";
import type { StoreFault } from "../hosts/mod.ts";
import type { Running } from "./running.ts";

/** Gives up the membership of another instance in the group of owners. */
export async function leaveFor(
  running: Running,
  instance: string,
): Promise<Result<void, StoreFault>> {
  const { platform, member, ending } = running;
  return await platform.store.leave(
    { ...member, member: instance },
    ending.signal,
  );
}
