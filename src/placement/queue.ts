/**
 * The queue: lanes of groups, the groups of a lane in order of arrival.
 *
 * @module
 */
import {
  fitsInto,
  type Request,
  type Resources,
  type Task,
} from "../model/mod.ts";
import { learnedOf } from "./learning.ts";
import type { Lane } from "./lane.ts";
import type { Placement } from "./placement.ts";
import type { QueuedTask } from "./task_entry.ts";
import type { WaitingGroup } from "./waiting_group.ts";

/** Removed groups are cut off a lane once there are this many. */
const LANE_TRIM = 64;

/** Queues tasks of one request that the core does not know yet. */
export function enqueueTasks(
  placement: Placement,
  request: Request,
  tasks: Task[],
  atMs: number,
): WaitingGroup | undefined {
  const fresh = tasks.filter((task) => !placement.tasks.has(task.id));
  const first = fresh[0];
  if (first === undefined) return undefined;
  const group: WaitingGroup = {
    requestId: request.id,
    agreement: first.agreement,
    policy: first.policy,
    urgency: first.urgency,
    queuedAtMs: atMs,
    startByMs: first.attempt === 1 ? request.startByMs : undefined,
    tasks: [],
    waiting: 0,
    next: 0,
    lane: laneOf(placement, first),
    listed: false,
    offloadedAtMs: undefined,
    hold: undefined,
    holdsLost: 0,
  };
  for (const task of fresh) addQueued(placement, group, task);
  listGroup(group);
  placement.unchecked.add(group);
  if (group.startByMs !== undefined) placement.deadlines.add(group);
  return group;
}

/** Puts a task that surely did not start back to the front. */
export function requeueTask(
  placement: Placement,
  group: WaitingGroup,
  task: Task,
): void {
  addQueued(placement, group, task);
  const last = group.tasks.pop();
  if (last !== undefined) putBefore(group, last);
  listGroup(group);
  if (group.startByMs !== undefined) placement.deadlines.add(group);
}

/** Takes a task out of the queue. */
export function dequeueTask(placement: Placement, queued: QueuedTask): void {
  const { task, group } = queued;
  placement.tasks.delete(task.id);
  queued.waits = false;
  changeWaiting(placement, queued, -1);
  if (group.waiting > 0) return;
  group.listed = false;
  placement.unchecked.delete(group);
  placement.deadlines.delete(group);
}

/** The tasks of a group that still wait, in order. */
export function* waitingTasks(
  group: WaitingGroup,
): Generator<QueuedTask> {
  for (let i = group.next; i < group.tasks.length; i++) {
    const queued = group.tasks[i]!;
    if (queued.waits) yield queued;
    else if (i === group.next) group.next += 1;
  }
}

/** The groups of a lane that still wait, oldest first. */
export function* waitingGroups(lane: Lane): Generator<WaitingGroup> {
  trimLane(lane);
  for (let i = lane.next; i < lane.groups.length; i++) {
    const group = lane.groups[i]!;
    if (group.listed) yield group;
  }
}

/** The oldest group of a lane that still waits. */
export function firstGroup(lane: Lane): WaitingGroup | undefined {
  trimLane(lane);
  return lane.groups[lane.next];
}

function addQueued(
  placement: Placement,
  group: WaitingGroup,
  task: Task,
): void {
  const queued: QueuedTask = {
    kind: "queued",
    task,
    group,
    waits: true,
    learned: learnedOf(placement, task),
  };
  const { lane } = group;
  lane.smallest = smallerOf(lane.smallest, task.demand);
  placement.tasks.set(task.id, queued);
  group.tasks.push(queued);
  changeWaiting(placement, queued, 1);
}

function changeWaiting(
  placement: Placement,
  { group, task }: QueuedTask,
  change: 1 | -1,
): void {
  const { lane } = group;
  group.waiting += change;
  lane.waiting += change;
  placement.queued += change;
  placement.queuedByUrgency[group.urgency]! += change;
  if (task.demand.accelerators > 0) placement.queuedAccelerated += change;
  if (lane.waiting > 0) placement.activeLanes.add(lane);
  else placement.activeLanes.delete(lane);
}

function putBefore(group: WaitingGroup, queued: QueuedTask): void {
  if (group.next > 0) {
    group.next -= 1;
    group.tasks[group.next] = queued;
  } else {
    group.tasks.unshift(queued);
  }
}

function listGroup(group: WaitingGroup): void {
  if (group.listed) return;
  group.listed = true;
  const { lane } = group;
  trimLane(lane);
  const first = lane.groups[lane.next];
  const isOldest = first !== undefined && first.queuedAtMs > group.queuedAtMs;
  if (!isOldest) lane.groups.push(group);
  else if (lane.next > 0) lane.groups[--lane.next] = group;
  else lane.groups.unshift(group);
}

function trimLane(lane: Lane): void {
  const { groups } = lane;
  while (lane.next < groups.length && !groups[lane.next]!.listed) {
    lane.next += 1;
  }
  if (lane.next >= LANE_TRIM && 2 * lane.next >= groups.length) {
    groups.splice(0, lane.next);
    lane.next = 0;
  }
}

function laneOf(placement: Placement, task: Task): Lane {
  const { agreement, work, urgency } = task;
  const key = `${agreement}/${work}/${urgency}`;
  const known = placement.lanes.get(key);
  if (known !== undefined) return known;
  const lane: Lane = {
    agreement,
    work,
    urgency,
    waiting: 0,
    smallest: task.demand,
    groups: [],
    next: 0,
  };
  placement.lanes.set(key, lane);
  return lane;
}

function smallerOf(left: Resources, right: Resources): Resources {
  if (fitsInto(left, right)) return left;
  return {
    cpuMillis: Math.min(left.cpuMillis, right.cpuMillis),
    memoryMb: Math.min(left.memoryMb, right.memoryMb),
    accelerators: Math.min(left.accelerators, right.accelerators),
  };
}
