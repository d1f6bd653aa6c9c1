/** The style sheet of the HTML page. */
export const PAGE_STYLE = `
:root { color-scheme: light dark; --line: #8884; --soft: #8882; }
body { font: 14px/1.4 system-ui, sans-serif; margin: 0; }
header { padding: 12px 16px; border-bottom: 1px solid var(--line); }
h1 { font-size: 18px; margin: 0 0 8px; }
.controls { display: flex; flex-wrap: wrap; gap: 8px 16px; align-items: center; }
.controls input[type=search] { width: 22em; padding: 4px 8px; font: inherit; }
.legend { display: flex; flex-wrap: wrap; gap: 4px 8px; margin-top: 8px; }
.legend button {
  font: inherit; border: 1px solid var(--line); border-radius: 12px;
  background: none; color: inherit; padding: 1px 10px; cursor: pointer;
}
.legend button[aria-pressed=false] { opacity: .35; text-decoration: line-through; }
.dot {
  display: inline-block; width: 10px; height: 10px; border-radius: 5px;
  margin-right: 6px;
}
.lanes { overflow-x: auto; padding: 0 16px; }
svg { display: block; }
svg text { fill: currentColor; font-size: 12px; }
svg .grid { stroke: var(--line); }
svg .lane { fill: var(--soft); }
svg .event { cursor: pointer; stroke: Canvas; stroke-width: 1; }
svg .event.same { stroke: CanvasText; stroke-width: 2; }
svg .link { fill: none; stroke: CanvasText; stroke-opacity: .6; stroke-dasharray: 3 3; }
#tip {
  position: fixed; max-width: 34em; padding: 6px 10px; border-radius: 4px;
  background: CanvasText; color: Canvas; pointer-events: none; display: none;
  overflow-wrap: anywhere;
}
table { border-collapse: collapse; margin: 12px 16px; }
th, td { text-align: left; padding: 2px 12px 2px 0; vertical-align: top; }
th { border-bottom: 1px solid var(--line); position: sticky; top: 0; background: Canvas; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
tr.same td { font-weight: 600; }
td { overflow-wrap: anywhere; }
`;
