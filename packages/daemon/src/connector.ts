/**
 * Opens connections to backend servers on which every reset is an error, and which are closed on
 * unsolicited data. A server that crashes while it sends a response without a length resets the connection,
 * and the truncated response must not pass for a complete one. Both layers below hide such a reset: undici
 * takes a reset after the response head for the end of the body, and libuv reports a reset that it reads
 * together with the last bytes as a normal end of stream.
 */
import type {Socket} from 'node:net';

import {buildConnector} from 'undici';

const RESET_CODE = 'ECONNRESET';
/** Error code that undici does not take for the end of a response. */
const BROKEN_PIPE_CODE = 'EPIPE';
const EMPTY_BUFFER = Buffer.alloc(0);

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
    if (chunk !== null || !isReset(socket)) return push(chunk, encoding);
    const reason = new Error('the connection was reset');
    socket.destroy(Object.assign(reason, {code: BROKEN_PIPE_CODE}));
    return false;
  };
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

/** Returns whether a connection at end of stream was reset, in which case even an empty write fails. */
function isReset(socket: Socket): boolean {
  if (!socket.writable) return false;
  socket.write(EMPTY_BUFFER);
  return socket.errored !== null;
}
