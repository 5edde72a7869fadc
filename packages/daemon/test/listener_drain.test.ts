/**
 * Tests of the end of a listener with real sockets.
 */
import {once} from 'node:events';
import {type AddressInfo, connect, type Socket} from 'node:net';

import test from 'ava';

import {createNodeSystem} from '@dottereldrift/core/system.js';

import {ListenerDrain} from '../src/listener_drain.js';
import {createListener} from '../src/request_listener.js';

import {createLimits} from './fakes.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: shop.example\r\n\r\n';

async function openBench() {
  const limits = createLimits();
  const app = createListener(limits);
  app.get('/', (_request, reply) => reply.send('whole'));
  const drain = new ListenerDrain(createNodeSystem(), app);
  await app.listen({host: '127.0.0.1', port: 0});
  const {port} = app.server.address() as AddressInfo;
  return {drain, port};
}

async function readAnswer(socket: Socket): Promise<string> {
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(socket, 'close').catch(() => undefined);
  return Buffer.concat(chunks).toString('latin1');
}

test('a request that has arrived on an idle connection is answered before the connection closes', async t => {
  const {drain, port} = await openBench();
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST);
  await once(socket, 'data');
  drain.start();
  socket.write(REQUEST);
  const closed = drain.close();
  t.regex(await readAnswer(socket), /^HTTP\/1.1 200 [^]*close[^]*whole$/);
  await closed;
});

test('a request on a connection that was opened as the listener closes is answered', async t => {
  const {drain, port} = await openBench();
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST);
  drain.start();
  const closed = drain.close();
  t.regex(await readAnswer(socket), /^HTTP\/1.1 200 [^]*close[^]*whole$/);
  await closed;
});

test('an idle connection does not hold the end of its listener up', async t => {
  const {drain, port} = await openBench();
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST);
  await once(socket, 'data');
  drain.start();
  await drain.close();
  t.is(await readAnswer(socket), '');
});
