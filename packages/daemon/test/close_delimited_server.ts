/**
 * A server for tests, run as a worker thread, so that it answers while the event loop of the test is busy. Each
 * response has no length. The path of a request names what happens to its connection.
 */
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {parentPort} from 'node:worker_threads';

import {END_DELAY_MS, HALF, type Ending, WHOLE} from './close_delimited.js';

const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
/** Last bytes of a request that is sent in chunks. */
const REQUEST_END = '\r\n0\r\n\r\n';

const ANSWERS: Readonly<Record<Ending, (socket: Socket) => void>> = {
  reset: socket => {
    socket.write(HEAD + HALF);
    socket.resetAndDestroy();
  },
  'reset-later': socket => {
    socket.write(HEAD + HALF);
    setTimeout(() => socket.resetAndDestroy(), END_DELAY_MS);
  },
  'reset-unread': socket => {
    socket.pause();
    socket.write(HEAD + HALF);
    setTimeout(() => socket.resetAndDestroy(), END_DELAY_MS);
  },
  'close-unread': socket => {
    socket.pause();
    socket.write(HEAD + HALF);
    setTimeout(() => socket.destroy(), END_DELAY_MS);
  },
  'end-then-reset': socket => {
    socket.end(HEAD + HALF);
    setTimeout(() => socket.resetAndDestroy(), END_DELAY_MS);
  },
  'end-unread': socket => {
    socket.pause();
    socket.end(HEAD + WHOLE);
  },
  'end-early': socket => {
    socket.end(HEAD + WHOLE);
  },
  'end-after-upload': socket => {
    waitForRequestEnd(socket, () => {
      socket.end(HEAD + WHOLE);
    });
  },
  'answer-early': socket => {
    socket.write(HEAD + WHOLE);
    waitForRequestEnd(socket, () => {
      socket.end();
    });
  },
};

function waitForRequestEnd(socket: Socket, callback: () => void): void {
  let last = '';
  socket.on('data', (chunk: Buffer) => {
    last = (
      last + chunk.subarray(-REQUEST_END.length).toString('latin1')
    ).slice(-REQUEST_END.length);
    if (last === REQUEST_END) callback();
  });
}

const server = createServer({allowHalfOpen: true}, socket => {
  socket.on('error', () => {});
  socket.once('data', (chunk: Buffer) => {
    const [, path = ''] = chunk.toString('latin1').split(' ', 2);
    ANSWERS[path.slice(1) as Ending](socket);
    socket.on('data', () => {});
    socket.on('end', () => socket.end());
  });
});
server.listen(0, '127.0.0.1', () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
