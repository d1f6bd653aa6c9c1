/**
 * Who is alive in which zone, from heartbeats and the instance list; which
 * incarnations are barred, and when a barred one is settled. Pure: no I/O, and
 * every clock reading is passed in.
 *
 * @module
 */
export * from "./advance.ts";
export * from "./bar.ts";
export * from "./bars.ts";
export * from "./heartbeat.ts";
export * from "./heartbeat_frame.ts";
export * from "./heartbeat_link.ts";
export * from "./held_worker.ts";
export * from "./holder.ts";
export * from "./build_heartbeat.ts";
export * from "./load.ts";
export * from "./member.ts";
export * from "./membership.ts";
export * from "./ownership.ts";
export * from "./peer_views.ts";
export * from "./peers_to_beat.ts";
export * from "./receive_heartbeat.ts";
export * from "./receive_list.ts";
export * from "./rendezvous.ts";
export * from "./settlement.ts";
export * from "./shared.ts";
export * from "./views.ts";
