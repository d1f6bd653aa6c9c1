/**
 * The time line: events of every process, ordered by a Lamport clock, and
 * their rendering as text or as one HTML page.
 *
 * @module
 */
export * from "./merge_time_lines.ts";
export * from "./render_html.ts";
export * from "./render_text.ts";
export * from "./time_line.ts";
