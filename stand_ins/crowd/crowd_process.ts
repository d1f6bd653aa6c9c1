/**
 * Runs a crowd in a process of its own until its parent ends the channel, so
 * that the parent stays free for the stand-ins of the platform.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import type { CrowdOptions } from "./crowd.ts";
import type { Shape } from "./shapes.ts";

const HOST = "127.0.0.1";
/** Pause before a connection that was closed is opened again, in ms. */
const REOPEN_PAUSE_MS = 100;

process.on("disconnect", () => process.exit());
process.once("message", async (options: CrowdOptions) => {
  const connections = Array.from(
    { length: options.connectionCount },
    () => keepOpen(options),
  );
  await Promise.all(connections);
});

/** Opens a connection, and opens it again a few times when it is closed. */
async function keepOpen(options: CrowdOptions): Promise<void> {
  for (let opened = 0; opened <= options.reopenCount; opened += 1) {
    await runConnection(options.port, options.shape);
    await delay(REOPEN_PAUSE_MS);
  }
}

/** Resolves when the connection is closed. */
async function runConnection(port: number, shape: Shape): Promise<void> {
  const socket = connect({ host: HOST, port, allowHalfOpen: true });
  const closed = new Promise<void>((resolve) => {
    socket.on("close", () => resolve());
  });
  socket.on("error", () => {});
  if (shape.isReading) {
    socket.resume();
    socket.on("end", () => socket.end());
  } else {
    socket.pause();
  }
  await send(socket, shape);
  await closed;
}

async function send(socket: Socket, shape: Shape): Promise<void> {
  socket.write(shape.opening);
  for (let sent = 0; sent < shape.pieceCount; sent += 1) {
    if (socket.destroyed || socket.writableEnded) return;
    if (!socket.write(shape.piece)) await drained(socket);
    if (shape.pauseMs > 0) await delay(shape.pauseMs);
  }
  if (shape.isHalfClosed) socket.end();
}

function drained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const end = () => {
      socket.off("drain", end).off("close", end);
      resolve();
    };
    socket.on("drain", end).on("close", end);
  });
}
