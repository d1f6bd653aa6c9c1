/**
 * The script of the HTML page. It reads the events embedded in the page, draws
 * one lane for each process, and loads no other resource.
 */
export const PAGE_SCRIPT = `
"use strict";
const events = JSON.parse(document.getElementById("events").textContent);
const LANE_HEIGHT = 44;
const LABEL_WIDTH = 190;
const AXIS_HEIGHT = 28;
const MAX_ROWS = 500;
const MAX_TICKS = 10;
const hidden = new Set();
let selected;

const family = (event) => event.name.split(".")[0];
const families = [...new Set(events.map(family))].sort();
const lanes = [...new Set(events.map((event) => event.process))].sort();
const colour = (name) =>
  "hsl(" + Math.round(families.indexOf(name) * 137.5) % 360 + " 65% 48%)";
const time = (ms) => new Date(ms).toISOString().slice(11, 23);
const byId = (id) => document.getElementById(id);

function element(name, attributes, text) {
  const space = "http://www.w3.org/2000/svg";
  const created = document.createElementNS(space, name);
  for (const key in attributes) created.setAttribute(key, attributes[key]);
  if (text !== undefined) created.textContent = text;
  return created;
}

function isShown(event) {
  if (hidden.has(family(event))) return false;
  const words = byId("filter").value.toLowerCase().split(/\\s+/);
  const text = [event.process, event.name, event.subject, event.detail]
    .join(" ").toLowerCase();
  return words.every((word) => text.includes(word));
}

function hasSelectedSubject(event) {
  return selected !== undefined && event.subject === selected;
}

function describe(event) {
  return [
    event.name + " at " + event.process + "/" + event.incarnation,
    time(event.atMs) + ", order " + event.lamport,
    event.subject,
    event.detail,
  ].filter((line) => line !== undefined).join("\\n");
}

function scale(shown, width) {
  const byTime = byId("axis").value === "time";
  const values = shown.map((event) => byTime ? event.atMs : event.lamport);
  const low = Math.min(...values);
  const span = Math.max(1, Math.max(...values) - low);
  const place = (value) => LABEL_WIDTH + 12 + (value - low) / span * width;
  return {
    x: (event) => place(byTime ? event.atMs : event.lamport),
    ticks: Array.from({ length: MAX_TICKS + 1 }, (_, index) => {
      const value = low + span * index / MAX_TICKS;
      const text = byTime ? time(value) : String(Math.round(value));
      return { x: place(value), text };
    }),
  };
}

function drawAxis(svg, ticks, height) {
  for (const { x, text } of ticks) {
    svg.append(element("line", { x1: x, x2: x, y1: AXIS_HEIGHT - 6, y2: height, class: "grid" }));
    svg.append(element("text", { x, y: 14, "text-anchor": "middle" }, text));
  }
}

function drawLanes(svg, width) {
  lanes.forEach((process, index) => {
    const y = AXIS_HEIGHT + index * LANE_HEIGHT;
    svg.append(element("rect", { x: 0, y: y + 2, width, height: LANE_HEIGHT - 4, class: "lane" }));
    svg.append(element("text", { x: 8, y: y + LANE_HEIGHT / 2 + 4 }, process));
  });
}

function drawEvents(svg, shown, x) {
  const eventCounts = new Map();
  const points = shown.map((event) => {
    const lane = lanes.indexOf(event.process);
    const left = x(event);
    const position = lane + ":" + Math.round(left / 6);
    const depth = eventCounts.get(position) ?? 0;
    eventCounts.set(position, depth + 1);
    const y = AXIS_HEIGHT + lane * LANE_HEIGHT + 10 + depth * 7 % (LANE_HEIGHT - 16);
    return { event, x: left, y };
  });
  const same = points.filter(({ event }) => hasSelectedSubject(event));
  const path = same.map(({ x, y }) => x + " " + y).join(" L ");
  if (same.length > 1) svg.append(element("path", { d: "M " + path, class: "link" }));
  for (const { event, x, y } of points) {
    const dot = element("circle", {
      cx: x, cy: y, r: hasSelectedSubject(event) ? 6 : 4.5, fill: colour(family(event)),
      class: hasSelectedSubject(event) ? "event same" : "event",
    });
    dot.addEventListener("mousemove", (move) => showTip(move, event));
    dot.addEventListener("mouseleave", hideTip);
    dot.addEventListener("click", () => select(event));
    svg.append(dot);
  }
}

function showTip(move, event) {
  const tip = byId("tip");
  tip.textContent = describe(event);
  tip.style.whiteSpace = "pre-line";
  tip.style.display = "block";
  const isRight = move.clientX > innerWidth / 2;
  tip.style.left = isRight ? "" : move.clientX + 14 + "px";
  tip.style.right = isRight ? innerWidth - move.clientX + 14 + "px" : "";
  tip.style.top = Math.min(move.clientY + 14, innerHeight - 110) + "px";
}

function hideTip() {
  byId("tip").style.display = "none";
}

function select(event) {
  selected = hasSelectedSubject(event) ? undefined : event.subject;
  draw();
}

function drawTable(shown) {
  const body = byId("rows");
  body.replaceChildren();
  for (const event of shown.slice(0, MAX_ROWS)) {
    const row = document.createElement("tr");
    if (hasSelectedSubject(event)) row.className = "same";
    const cells = [event.lamport, time(event.atMs), event.process, event.name,
      event.subject ?? "", event.detail ?? ""];
    cells.forEach((text, index) => {
      const cell = document.createElement("td");
      cell.textContent = text;
      if (index === 0) cell.className = "number";
      if (index === 3) cell.style.color = colour(family(event));
      row.append(cell);
    });
    row.addEventListener("click", () => select(event));
    body.append(row);
  }
}

function drawLegend() {
  for (const name of families) {
    const button = document.createElement("button");
    const dot = document.createElement("span");
    dot.className = "dot";
    dot.style.background = colour(name);
    button.append(dot, name);
    button.setAttribute("aria-pressed", "true");
    button.addEventListener("click", () => {
      if (!hidden.delete(name)) hidden.add(name);
      button.setAttribute("aria-pressed", String(!hidden.has(name)));
      draw();
    });
    byId("legend").append(button);
  }
}

function draw() {
  const shown = events.filter(isShown);
  const rest = shown.length > MAX_ROWS ? "; the table shows the first " + MAX_ROWS : "";
  byId("count").textContent = shown.length + " of " + events.length + " events" + rest;
  const zoom = Number(byId("zoom").value);
  const width = Math.max(400, (innerWidth - LABEL_WIDTH - 80) * zoom);
  const height = AXIS_HEIGHT + lanes.length * LANE_HEIGHT;
  const total = LABEL_WIDTH + width + 48;
  const svg = element("svg", { width: total, height: height + 8, role: "img" });
  drawLanes(svg, total);
  if (shown.length > 0) {
    const { x, ticks } = scale(shown, width);
    drawAxis(svg, ticks, height);
    drawEvents(svg, shown, x);
  }
  byId("lanes").replaceChildren(svg);
  drawTable(shown);
}

drawLegend();
for (const id of ["filter", "axis", "zoom"]) byId(id).addEventListener("input", draw);
addEventListener("resize", draw);
draw();
`;
