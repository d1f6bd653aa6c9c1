import type { Result } from "neverthrow";
import type { StoreFault } from "../hosts/mod.ts";
import type { EntryContext } from "./entry_context.ts";

/** Removes another instance from the owner group in the store. */
export async function evictMember(
  context: EntryContext,
  instance: string,
): Promise<Result<void, StoreFault>> {
  const { platform, member, ending } = context;
  return await platform.store.leave(
    { ...member, member: instance },
    ending.signal,
  );
}
