/**
 * Tests of the listeners for routed requests of callers and peers, over real sockets.
 */
import {once} from 'node:events';
import {type AddressInfo, connect} from 'node:net';

import test from 'ava';

import {createNodeSystem} from '@dottereldrift/core/system.js';
import type {
  AcceptedManifest,
  RequestKind,
} from '@dottereldrift/manifest/types.js';

import type {CallerProtocol} from '../src/caller_protocol.js';
import type {AttemptResult} from '../src/exchange.js';
import {createNotRunFailure} from '../src/failures.js';
import {ROUTED_HEADER} from '../src/headers.js';
import {
  addRoutedCallerRoutes,
  addRoutedPeerRoutes,
  createListener,
} from '../src/request_listener.js';
import {
  formatEnvelope,
  ROUTED_PATH_PREFIX,
  RoutedExchangeFactory,
} from '../src/routed_exchange_factory.js';

import {createLimits} from './fakes.js';

const WAIT_MS = 100;
const REQUEST = 'GET /menu/1 HTTP/1.1\r\nhost: shop.example\r\n\r\n';
const KIND: RequestKind = {
  name: 'read',
  match: {},
  idempotent: true,
  deadlineMs: 1_000,
  maxAttempts: 2,
  priority: 5,
  expectedServiceMs: 10,
  objective: 0.99,
};

const ACCEPTED = {
  generation: 1,
  sourceVersion: 1,
  manifest: {
    services: {menu: {division: 'none', kinds: []}},
    routes: [
      {
        name: 'menu',
        host: 'shop.example',
        pathPrefix: '/menu/',
        goalMs: 100,
        kind: KIND,
        parts: [{service: 'menu', weight: 1}],
      },
    ],
  },
} as unknown as AcceptedManifest;

const PROTOCOL: CallerProtocol = {
  parseRequest: () => ({requestId: 'a', deadlineMs: 800, key: undefined}),
  createServerHeaders: () => ({}),
  isServerRefusal: () => false,
  isIdentified: () => true,
  isForeignAnswer: () => false,
  createProblemHead: () => ({status: 503, headers: {'retry-after': '0.250'}}),
};

async function openTestListener(isLagging: boolean, observe = () => {}) {
  const handled: string[] = [];
  const internalErrors: string[] = [];
  const factory = new RoutedExchangeFactory(
    createNodeSystem(),
    createLimits(),
    PROTOCOL,
    () => 'menu',
    () => ACCEPTED,
    {tryAdmit: () => !isLagging, observeStart: () => {}},
  );
  const app = createListener(createLimits());
  const handle = (): Promise<AttemptResult> => {
    handled.push('a');
    return Promise.resolve({
      kind: 'failed',
      failure: createNotRunFailure('DD3004', 10),
    });
  };
  addRoutedCallerRoutes(app, PROTOCOL, factory, handle, observe, error => {
    internalErrors.push(String(error));
  });
  addRoutedPeerRoutes(app, factory, handle, error => {
    internalErrors.push(String(error));
  });
  await app.listen({host: '127.0.0.1', port: 0});
  const {port} = app.server.address() as AddressInfo;
  return {app, handled, internalErrors, port};
}

function waitFor(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

test('a request whose caller disconnected before it was read is not started', async t => {
  const {app, handled, port} = await openTestListener(false);
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  socket.write(REQUEST);
  socket.destroy();
  await waitFor(WAIT_MS);
  t.deepEqual(handled, []);
  await app.close();
});

for (const [name, isLagging, expected] of [
  ['on schedule', false, ['a']],
  ['behind schedule', true, []],
] as const) {
  test(`a daemon that is ${name} responds at once with a retry delay`, async t => {
    const {app, handled, port} = await openTestListener(isLagging);
    const socket = connect(port, '127.0.0.1');
    socket.write(REQUEST);
    const [chunk] = (await once(socket, 'data')) as [Buffer];
    t.regex(chunk.toString('latin1'), /^HTTP\/1.1 503 [^]*retry-after: 0.250/);
    t.deepEqual(handled, [...expected]);
    socket.destroy();
    await app.close();
  });
}

test('an internal error is reported before its connection is closed', async t => {
  const {app, internalErrors, port} = await openTestListener(false, () => {
    throw new Error('the report is broken');
  });
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST);
  await once(socket, 'close');
  t.deepEqual(internalErrors, ['Error: the report is broken']);
  await app.close();
});

test('a refusal between daemons has no body, and its headers give the outcome of the request', async t => {
  const {app, port} = await openTestListener(false);
  const target = {service: 'menu', key: undefined, path: '/menu/1'};
  const envelope = formatEnvelope(target, KIND, {
    protocol: PROTOCOL,
    authority: 'shop.example',
    requestId: 'a',
    origin: 'menu',
    goalMs: 100,
  });
  const answer = await fetch(
    `http://127.0.0.1:${port}${ROUTED_PATH_PREFIX}/menu/1`,
    {
      headers: {
        [ROUTED_HEADER]: envelope,
        'dottereldrift-remaining-ms': '500',
      },
    },
  );
  t.is(await answer.text(), '');
  t.is(answer.headers.get('date'), null);
  t.is(answer.headers.get('dottereldrift-outcome'), 'not-run');
  t.is(answer.headers.get('dottereldrift-code'), 'DD3004');
  t.is(answer.headers.get('dottereldrift-retry-after-ms'), '10');
  await app.close();
});

for (const [name, prefix] of [
  ['caller', ''],
  ['peer', ROUTED_PATH_PREFIX],
] as const) {
  test(`a routed target with bytes outside printable ASCII is rejected without being run, from a ${name}`, async t => {
    const {app, handled, port} = await openTestListener(false);
    const envelope = `${ROUTED_HEADER}: menu menu 100 read 1 5 10`;
    for (const byte of ['\t', '\f', '\x80', '\xe9', '\xff']) {
      const socket = connect(port, '127.0.0.1');
      const target = `${prefix}/menu/${byte}`;
      const head = `GET ${target} HTTP/1.1\r\nhost: shop.example\r\n${envelope}`;
      socket.write(`${head}\r\n\r\n`, 'latin1');
      const [chunk] = (await once(socket, 'data')) as [Buffer];
      const answer = chunk.toString('latin1');
      t.regex(answer, /^HTTP\/1.1 400 [^]*dottereldrift-outcome: not-run/);
      t.regex(answer, /dottereldrift-code: DD3030/);
      socket.destroy();
    }
    t.deepEqual(handled, []);
    await app.close();
  });
}
