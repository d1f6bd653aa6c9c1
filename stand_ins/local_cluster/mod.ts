/**
 * Runs a cluster of real processes on 127.0.0.1: the stand-ins in this process
 * and every entry instance in its own. Used by the quickstart and by tests;
 * the product itself starts no processes.
 *
 * @module
 */
export * from "./json_client.ts";
export * from "./local_cluster.ts";
export * from "./program.ts";
export * from "./submit_work_item.ts";
export * from "./test_cluster.ts";
export * from "./check_execution.ts";
