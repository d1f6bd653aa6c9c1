/**
 * Sets up the engine for a small process. Imported before anything else, so
 * that it holds however the daemon is started.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";

/**
 * The flags, each of which is read at the time of use:
 *
 * - the HTTP parser of `undici` is WebAssembly, and its optimised compilation
 *   takes far more memory than it runs in;
 * - the young generation stays at its initial size;
 * - the old generation is collected after it has grown by a fifth.
 */
const FLAGS = [
  "--liftoff-only",
  "--semi-space-growth-factor=1",
  "--heap-growing-percent=20",
];

for (const flag of FLAGS) setFlagsFromString(flag);
