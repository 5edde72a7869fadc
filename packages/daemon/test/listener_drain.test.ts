/**
 * Tests of closing a listener, over real sockets: no request is lost without a response.
 */
import {once} from 'node:events';
import {type AddressInfo, connect, type Socket} from 'node:net';

import test from 'ava';

import {createNodeSystem} from '@dottereldrift/core/system.js';

import {ListenerDrain} from '../src/listener_drain.js';
import {createListener} from '../src/request_listener.js';

import {createLimits} from './fakes.js';

/** Time that the slow response takes. */
const ANSWER_DELAY_MS = 100;
const QUEUED_CONNECTIONS = 20;
const PAUSE_MS = 50;
const REFUSAL = 'HTTP/1.1 503 X\r\ncontent-length: 7\r\n\r\nnot run';
const REQUEST = 'GET / HTTP/1.1\r\nhost: shop.example\r\n\r\n';

async function openTestListener(refusal = REFUSAL) {
  const limits = createLimits();
  const app = createListener(limits);
  const handled: string[] = [];
  app.get('/', (_request, reply) => {
    handled.push('/');
    return reply.send('whole');
  });
  app.get('/slow', (_request, reply) => {
    reply.hijack();
    reply.raw.sendDate = false;
    reply.raw.writeHead(200, {'content-length': '5'});
    reply.raw.write('wh');
    setTimeout(() => reply.raw.end('ole'), ANSWER_DELAY_MS);
  });
  const drain = new ListenerDrain(createNodeSystem(), app, refusal);
  await app.listen({host: '127.0.0.1', port: 0});
  const {port} = app.server.address() as AddressInfo;
  return {app, drain, handled, port};
}

/** Blocks the event loop for a time, as happens on a busy host. */
function pauseEventLoop(timeMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, timeMs);
}

async function readAnswer(socket: Socket): Promise<string> {
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(socket, 'close').catch(() => undefined);
  return Buffer.concat(chunks).toString('latin1');
}

test('a request that has arrived on an idle connection is answered before the connection closes', async t => {
  const {drain, port} = await openTestListener();
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST);
  await once(socket, 'data');
  drain.start();
  socket.write(REQUEST);
  const closed = drain.close();
  t.regex(await readAnswer(socket), /^HTTP\/1.1 200 [^]*close[^]*whole$/);
  await closed;
});

test('a request on a connection that was opened while the listener closes is answered', async t => {
  const {drain, port} = await openTestListener();
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST);
  drain.start();
  const closed = drain.close();
  t.regex(await readAnswer(socket), /^HTTP\/1.1 200 [^]*close[^]*whole$/);
  await closed;
});

test('requests on connections in the accept queue are answered when the listener closes', async t => {
  const {drain, port} = await openTestListener();
  const sockets = Array.from({length: QUEUED_CONNECTIONS}, () => {
    const socket = connect(port, '127.0.0.1');
    socket.write(REQUEST);
    return socket;
  });
  await Promise.all(sockets.map(socket => once(socket, 'connect')));
  pauseEventLoop(PAUSE_MS);
  drain.start();
  const closed = drain.close();
  const answers = await Promise.all(sockets.map(socket => readAnswer(socket)));
  const isAnswered = (answer: string) =>
    answer === REFUSAL || /^HTTP\/1.1 200 [^]*whole$/.test(answer);
  t.is(answers.filter(isAnswered).length, QUEUED_CONNECTIONS);
  await closed;
});

test('an idle connection does not delay closing the listener', async t => {
  const {drain, port} = await openTestListener();
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST);
  await once(socket, 'data');
  const answered = readAnswer(socket);
  drain.start();
  await drain.close();
  t.is(await answered, REFUSAL);
});

test('a request sent while its idle connection is being closed gets the refusal and is not run', async t => {
  const {app, drain, handled, port} = await openTestListener();
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST);
  await once(socket, 'data');
  drain.start();
  const close = app.server.close.bind(app.server);
  app.server.close = callback => {
    socket.write(REQUEST);
    return close(callback);
  };
  const closed = drain.close();
  t.is(await readAnswer(socket), REFUSAL);
  await closed;
  t.deepEqual(handled, ['/']);
});

test('a request that is only partly received when its connection is closed gets the refusal and is not run', async t => {
  const {drain, handled, port} = await openTestListener();
  const socket = connect({host: '127.0.0.1', port, allowHalfOpen: true});
  socket.write(REQUEST.slice(0, 9));
  await once(socket, 'connect');
  drain.start();
  const closed = drain.close();
  const answered = readAnswer(socket);
  await once(socket, 'end');
  socket.end(REQUEST.slice(9));
  t.is(await answered, REFUSAL);
  await closed;
  t.deepEqual(handled, []);
});

test('a connection without a request that its caller keeps half open does not delay closing the listener', async t => {
  const {drain, port} = await openTestListener();
  const fresh = connect({host: '127.0.0.1', port, allowHalfOpen: true});
  await once(fresh, 'connect');
  drain.start();
  const answered = readAnswer(fresh);
  await drain.close();
  fresh.end();
  t.is(await answered, REFUSAL);
});

test('a response in progress when the listener closes is completed, and then its connection is closed', async t => {
  const {drain, port} = await openTestListener();
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST.replace('/', '/slow'));
  const answered = readAnswer(socket);
  await once(socket, 'data');
  drain.start();
  const closed = drain.close();
  const [head, ...bodies] = (await answered).split('whole');
  t.regex(head ?? '', /^HTTP\/1.1 200 OK/);
  t.deepEqual(bodies, [REFUSAL]);
  await closed;
});

test('a listener without caller requests closes although a connection has sent nothing', async t => {
  const {drain, port} = await openTestListener('');
  const fresh = connect(port, '127.0.0.1');
  await once(fresh, 'connect');
  const answered = readAnswer(fresh);
  await drain.close();
  t.is(await answered, '');
});
