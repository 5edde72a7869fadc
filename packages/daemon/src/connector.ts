/**
 * Opens connections to backend servers on which every reset is an error, and which are closed on
 * unsolicited data. A server that crashes while it sends a response without a length resets the connection,
 * and the truncated response must not pass for a complete one. Both layers below hide such a reset: undici
 * takes a reset after the response head for the end of the body, and libuv reports a reset that it reads
 * together with the last bytes as a normal end of stream. So an end of stream is passed on only after a write
 * that succeeds behind the whole request: a write fails after a reset, but only once those before it are done.
 */
import type {Socket} from 'node:net';

import {buildConnector} from 'undici';

const RESET_CODE = 'ECONNRESET';
/** Error code that undici does not take for the end of a response. */
const BROKEN_PIPE_CODE = 'EPIPE';
const EMPTY_BUFFER = Buffer.alloc(0);
/**
 * Time in milliseconds after the end of the server's stream for the rest of the request to be written. It frees
 * the connection of a server that stopped reading long before the deadline of its request.
 */
export const REQUEST_REST_TIMEOUT_MS = 2_000;
const POLL_MS = 20;

/** Creates a connector with a connection timeout. */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      // After an error undici passes no socket.
      if (error === null) {
        watchResets(socket);
        watchUnsolicitedBytes(socket);
      }
      callback(...result);
    });
  };
}

function watchResets(socket: Socket): void {
  // Added before undici's own listener, so it sees the error first.
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === RESET_CODE) error.code = BROKEN_PIPE_CODE;
  });
  const push = socket.push.bind(socket);
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk !== null || !socket.writable) return push(chunk, encoding);
    if (hasUnwrittenBytes(socket)) {
      waitForRequest(socket, () => push(null));
      return false;
    }
    if (!isReset(socket)) return push(null);
    destroySocket(socket, 'the connection was reset');
    return false;
  };
}

/** Calls back once the whole request has been written; the socket is destroyed if that fails or takes too long. */
function waitForRequest(socket: Socket, callback: () => void): void {
  const limitTimer = setTimeout(() => {
    destroySocket(
      socket,
      'the server ended its stream and did not read the request',
    );
  }, REQUEST_REST_TIMEOUT_MS);
  let pollTimer: NodeJS.Timeout | undefined;
  socket.once('close', () => {
    clearTimeout(limitTimer);
    clearTimeout(pollTimer);
  });
  const check = () => {
    socket.write(EMPTY_BUFFER, error => {
      if (error || socket.destroyed) return;
      if (hasUnwrittenBytes(socket)) {
        pollTimer = setTimeout(check, POLL_MS);
        return;
      }
      clearTimeout(limitTimer);
      callback();
    });
  };
  check();
}

/** Returns whether part of a request is still to be written. While undici streams one, it listens for `drain`. */
function hasUnwrittenBytes(socket: Socket): boolean {
  return socket.writableLength > 0 || socket.listenerCount('drain') > 0;
}

function destroySocket(socket: Socket, reason: string): void {
  socket.destroy(Object.assign(new Error(reason), {code: BROKEN_PIPE_CODE}));
}

/**
 * Destroys a connection on which data arrives while no request is in progress. undici does the same,
 * except for empty lines, which it would read indefinitely.
 */
function watchUnsolicitedBytes(socket: Socket): void {
  let isIdle = false;
  const unref = socket.unref.bind(socket);
  const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
  const push = socket.push.bind(socket);
  // undici calls unref on a connection when it has no request for it.
  socket.unref = () => {
    isIdle = true;
    return unref();
  };
  socket.write = (...args: unknown[]) => {
    isIdle = false;
    return write(...args);
  };
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk === null || !isIdle) return push(chunk, encoding);
    socket.destroy(
      new Error('the server sent data while no request was in progress'),
    );
    return false;
  };
}

/** Returns whether a connection with no pending write was reset, in which case even an empty write fails. */
function isReset(socket: Socket): boolean {
  socket.write(EMPTY_BUFFER);
  return socket.errored !== null;
}
