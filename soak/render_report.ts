import { nameOfFault } from "./fault.ts";
import type { SoakResult } from "./run_soak.ts";

const WIDTH = 900;
const ROW = 14;
const PLOT_HEIGHT = 120;
const MS_PER_S = 1_000;

/** Renders runs as one HTML page: faults, load and waits over time. */
export function renderReport(results: SoakResult[]): string {
  const sections = results.map(renderRun).join("");
  return `<!doctype html><meta charset="utf-8"><title>Fault soak</title>
<style>body{font:13px sans-serif}rect.fault{fill:#c66}circle{fill:#369}</style>
<h1>Fault soak: ${results.length} runs</h1>${sections}`;
}

function renderRun(result: SoakResult): string {
  const { seed, plan, orders, broken } = result;
  const endMs = Math.max(
    MS_PER_S,
    ...orders.map(({ heardMs }) => heardMs),
    ...plan.map(({ atMs, lastsMs }) => atMs + lastsMs),
  );
  const x = (atMs: number) => (atMs / endMs * WIDTH).toFixed(1);
  const longestMs = Math.max(1, ...orders.map(waitOf));
  const faults = plan.map(({ atMs, lastsMs, fault }, row) => {
    const y = row * ROW;
    const name = escapeText(nameOfFault(fault));
    return `<rect class="fault" x="${x(atMs)}" y="${y}" width="${
      x(lastsMs)
    }" ` +
      `height="${ROW - 3}"/><text x="${x(atMs)}" y="${
        y + ROW - 4
      }">${name}</text>`;
  }).join("");
  const waits = orders.map((order) => {
    const y = PLOT_HEIGHT * (1 - waitOf(order) / longestMs);
    return `<circle r="1.5" cx="${x(order.atMs)}" cy="${y.toFixed(1)}"/>`;
  }).join("");
  const lines = broken.map((line) => `<li>${escapeText(line)}</li>`).join("");
  const longestS = (longestMs / MS_PER_S).toFixed(1);
  return `<h2>Seed ${seed}: ${orders.length} orders, ${broken.length} broken
promises</h2><ul>${lines}</ul>
<p>Time until an answer was final, by when the order was made (top:
${longestS} s)</p>
<svg width="${WIDTH}" height="${PLOT_HEIGHT}">${waits}</svg>
<p>Faults, over ${(endMs / MS_PER_S).toFixed(0)} s</p>
<svg width="${WIDTH}" height="${plan.length * ROW}">${faults}</svg>`;
}

function waitOf({ atMs, heardMs }: SoakResult["orders"][number]): number {
  return heardMs - atMs;
}

function escapeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
