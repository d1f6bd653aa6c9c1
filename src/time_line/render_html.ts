import type { TimeLineEvent } from "../model/mod.ts";
import { PAGE_SCRIPT } from "./page_script.ts";
import { PAGE_STYLE } from "./page_style.ts";

/**
 * Renders merged events as one self-contained HTML page: a lane for each
 * process, a time axis, a colour for each family of events, a filter, tooltips,
 * and a table of the events in causal order.
 *
 * @example
 * ```ts
 * writeFileSync("timeline.html", renderTimeLineHtml(mergeTimeLines(lists)));
 * ```
 */
export function renderTimeLineHtml(events: TimeLineEvent[]): string {
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>samphirestage time line</title>
<style>${PAGE_STYLE}</style>
</head>
<body>
<header>
<h1>Time line</h1>
<div class="controls">
<input id="filter" type="search" placeholder="Filter by process, event, subject or detail" aria-label="Filter">
<label>Axis <select id="axis"><option value="time">time (UTC)</option><option value="order">causal order</option></select></label>
<label>Zoom <input id="zoom" type="range" min="1" max="20" step="0.5" value="1"></label>
<span id="count"></span>
</div>
<div class="legend" id="legend"></div>
<p>Point at an event to read it; click it to follow its subject through all processes.</p>
</header>
<div class="lanes" id="lanes"></div>
<table>
<thead><tr><th>order</th><th>time</th><th>process</th><th>event</th><th>subject</th><th>detail</th></tr></thead>
<tbody id="rows"></tbody>
</table>
<div id="tip" role="tooltip"></div>
<script type="application/json" id="events">${embedJson(events)}</script>
<script>${PAGE_SCRIPT}</script>
</body>
</html>
`;
}

/** Serializes events as JSON that cannot close the enclosing script element. */
function embedJson(events: TimeLineEvent[]): string {
  return JSON.stringify(events).replaceAll("<", "\\u003c");
}
