import { describeFault } from "./fault.ts";
import type { SoakResult } from "./run_soak.ts";

const PLOT_WIDTH_PX = 900;
const ROW_HEIGHT_PX = 14;
const PLOT_HEIGHT_PX = 120;
const MS_PER_S = 1_000;

/** Renders runs as one HTML page: faults and latencies over time. */
export function renderReport(results: SoakResult[]): string {
  const sections = results.map(renderRun).join("");
  return `<!doctype html><meta charset="utf-8"><title>Fault soak</title>
<style>body{font:13px sans-serif}rect.fault{fill:#c66}circle{fill:#369}</style>
<h1>Fault soak: ${results.length} runs</h1>${sections}`;
}

function renderRun(result: SoakResult): string {
  const { seed, plan, workItems, violations } = result;
  const endMs = Math.max(
    MS_PER_S,
    ...workItems.map(({ finalAtMs }) => finalAtMs),
    ...plan.map(({ atMs, durationMs }) => atMs + durationMs),
  );
  const x = (atMs: number) => (atMs / endMs * PLOT_WIDTH_PX).toFixed(1);
  const maxLatencyMs = Math.max(1, ...workItems.map(latencyMs));
  const faults = plan.map(({ atMs, durationMs, fault }, row) => {
    const y = row * ROW_HEIGHT_PX;
    const name = escapeText(describeFault(fault));
    return `<rect class="fault" x="${x(atMs)}" y="${y}" width="${
      x(durationMs)
    }" ` +
      `height="${ROW_HEIGHT_PX - 3}"/><text x="${x(atMs)}" y="${
        y + ROW_HEIGHT_PX - 4
      }">${name}</text>`;
  }).join("");
  const latencyMarks = workItems.map((item) => {
    const y = PLOT_HEIGHT_PX * (1 - latencyMs(item) / maxLatencyMs);
    return `<circle r="1.5" cx="${x(item.atMs)}" cy="${y.toFixed(1)}"/>`;
  }).join("");
  const lines = violations.map((line) => `<li>${escapeText(line)}</li>`).join(
    "",
  );
  const maxLatencyS = (maxLatencyMs / MS_PER_S).toFixed(1);
  return `<h2>Seed ${seed}: ${workItems.length} work items, ${violations.length}
violations</h2><ul>${lines}</ul>
<p>Time to the final outcome, by time of submission (top:
${maxLatencyS} s)</p>
<svg width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}">${latencyMarks}</svg>
<p>Faults, over ${(endMs / MS_PER_S).toFixed(0)} s</p>
<svg width="${PLOT_WIDTH_PX}" height="${
    plan.length * ROW_HEIGHT_PX
  }">${faults}</svg>`;
}

function latencyMs(
  { atMs, finalAtMs }: SoakResult["workItems"][number],
): number {
  return finalAtMs - atMs;
}

function escapeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
