const MAX_PORT = 65_535;
const ADDRESS_PATTERN = /^(?:[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):(\d{1,5})$/;

/**
 * Whether a text is an address that can be called: a host, a colon and a port.
 *
 * @example
 * ```ts
 * isAddress("10.1.0.30:7380"); // true
 * isAddress("10.1.0.30:73800"); // false
 * ```
 */
export function isAddress(text: string): boolean {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0);
  return port > 0 && port <= MAX_PORT;
}
