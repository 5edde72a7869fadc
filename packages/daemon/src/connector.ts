/**
 * Opens connections on which a reset is an error, whatever has come before it, and which end when bytes
 * come that no request has asked for. A server that crashes in
 * the middle of an answer without a length resets its connection, and such an answer must not seem whole.
 * Two libraries hide the reset: the HTTP library takes a reset after the head of such an answer for its
 * end, and the event loop reports a reset that it reads together with the last bytes as a plain end.
 */
import type {Socket} from 'node:net';

import {buildConnector} from 'undici';

const RESET = 'ECONNRESET';
/** Code that the library gives no such meaning. */
const BROKEN = 'EPIPE';
const NO_BYTES = Buffer.alloc(0);

/** Returns a connector with a time limit in milliseconds. */
export function createConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      // After an error the library names no socket at all.
      if (error === null) {
        watchResets(socket);
        watchStrayBytes(socket);
      }
      callback(...result);
    });
  };
}

function watchResets(socket: Socket): void {
  // This listener is added before the library's own, so it sees an error first.
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === RESET) error.code = BROKEN;
  });
  const push = socket.push.bind(socket);
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk !== null || !isReset(socket)) return push(chunk, encoding);
    const reason = new Error('the connection was reset');
    socket.destroy(Object.assign(reason, {code: BROKEN}));
    return false;
  };
}

/**
 * Ends a connection on which bytes arrive while no request is under way. The HTTP library does so too,
 * but for empty lines, which it reads without end.
 */
function watchStrayBytes(socket: Socket): void {
  let isIdle = false;
  const unref = socket.unref.bind(socket);
  const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
  const push = socket.push.bind(socket);
  // The library lets go of a connection that it has no request for.
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
    socket.destroy(new Error('the server sent bytes without a request'));
    return false;
  };
}

/** Tells whether a connection at its end was reset: not even an empty write is taken then. */
function isReset(socket: Socket): boolean {
  if (!socket.writable) return false;
  socket.write(NO_BYTES);
  return socket.errored !== null;
}
