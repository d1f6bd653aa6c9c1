/**
 * What the programs use of `undici`, for the bundle. The package's own entry
 * also loads its caches, mocks, WebSocket and fetch, about 9 MB of memory.
 *
 * @module
 */
export { default as Pool } from "undici/lib/dispatcher/pool.js";
