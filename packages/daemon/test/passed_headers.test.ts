/**
 * Tests which headers reach a backend server from a caller, directly and through another daemon.
 */
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';

import test, {type ExecutionContext} from 'ava';
import type {FastifyInstance} from 'fastify';

import {createNodeSystem} from '@dottereldrift/core/system.js';
import type {AcceptedManifest} from '@dottereldrift/manifest/types.js';

import type {CallerProtocol} from '../src/caller_protocol.js';
import type {AttemptResult, Exchange} from '../src/exchange.js';
import {ExchangeFactory} from '../src/exchange_factory.js';
import {createNotRunFailure} from '../src/failures.js';
import {HttpForwarder} from '../src/forwarder.js';
import type {RequestSource} from '../src/headers.js';
import {
  addRequestRoutes,
  addRoutedCallerRoutes,
  addRoutedPeerRoutes,
  createListener,
  type ExchangeHandler,
} from '../src/request_listener.js';
import {RoutedExchangeFactory} from '../src/routed_exchange_factory.js';
import {createLimits} from './fakes.js';

const PEER_KEY = 'key-of-the-fleet';
const DEADLINE_MS = 1_000;
const KIND = {
  name: 'read',
  match: {},
  idempotent: true,
  deadlineMs: DEADLINE_MS,
  maxAttempts: 2,
  priority: 5,
  expectedServiceMs: 10,
  objective: 0.99,
};
const ACCEPTED = {
  generation: 1,
  sourceVersion: 1,
  manifest: {
    services: {menu: {division: 'none', kinds: [KIND]}},
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
  parseRequest: () => ({
    requestId: 'a',
    deadlineMs: DEADLINE_MS,
    key: undefined,
  }),
  createServerHeaders: () => ({}),
  isServerRefusal: () => false,
  isIdentified: () => true,
  isForeignAnswer: () => false,
  createProblemHead: () => ({status: 503, headers: {}}),
};
const MANIFEST = ACCEPTED.manifest;
const REFUSED: AttemptResult = {
  kind: 'failed',
  failure: createNotRunFailure('DD3004', 10),
};
/** Sent by the caller; those that only daemons may set are not believed. */
const CALLER_HEADERS = {
  host: 'shop.example',
  authorization: 'Bearer client-secret',
  'dottereldrift-authorization': 'Bearer forged',
  'dottereldrift-caller': 'forged',
  'dottereldrift-remaining-ms': '7',
  'x-trace': 't',
};

type Path = 'routed' | 'service';

/** Opens a daemon's listener for a source of requests on a path. */
async function openListener(
  path: Path,
  source: RequestSource,
  handle: ExchangeHandler,
): Promise<{readonly app: FastifyInstance; readonly port: number}> {
  const system = createNodeSystem();
  const limits = createLimits();
  const app = createListener(limits);
  const fail = (error: unknown) => {
    throw error;
  };
  if (path === 'service') {
    const factory = new ExchangeFactory(system, limits, () => MANIFEST);
    addRequestRoutes(app, source, factory, handle, () => {}, fail);
  } else {
    const factory = new RoutedExchangeFactory(
      system,
      limits,
      PROTOCOL,
      () => 'menu',
      () => ACCEPTED,
    );
    if (source === 'peer') addRoutedPeerRoutes(app, factory, handle, fail);
    else addRoutedCallerRoutes(app, PROTOCOL, factory, handle, () => {}, fail);
  }
  await app.listen({host: '127.0.0.1', port: 0});
  return {app, port: (app.server.address() as AddressInfo).port};
}

/** Returns the headers of the caller that go on to a backend server. */
function listServerHeaders(exchange: Exchange): readonly string[] {
  return Object.entries(exchange.headers)
    .map(([name, value]) => `${name}: ${String(value)}`)
    .sort();
}

/** Sends a request and returns the headers that its backend server would receive. */
async function runRequest(
  t: ExecutionContext,
  path: Path,
  isForwarded: boolean,
): Promise<readonly string[]> {
  let received: readonly string[] = [];
  const receive: ExchangeHandler = exchange => {
    received = listServerHeaders(exchange);
    return Promise.resolve(REFUSED);
  };
  const owner = await openListener(path, 'peer', receive);
  const forwarder = new HttpForwarder(
    createNodeSystem(),
    PEER_KEY,
    '127.0.0.1',
  );
  const candidate = {
    member: {host: 'h2', incarnation: 'a'},
    peerAddress: {ip: '127.0.0.1', port: owner.port},
    isLocal: false,
  };
  const entry = await openListener(path, 'caller', exchange =>
    isForwarded ? forwarder.forward(candidate, exchange, 1) : receive(exchange),
  );
  t.teardown(async () => {
    await forwarder.close();
    await Promise.all([owner.app.close(), entry.app.close()]);
  });
  const request = http.get({
    port: entry.port,
    host: '127.0.0.1',
    path: path === 'routed' ? '/menu/1' : '/services/menu/1',
    agent: false,
    headers: CALLER_HEADERS,
  });
  const [response] = (await once(request, 'response')) as [
    http.IncomingMessage,
  ];
  response.resume();
  await once(response, 'close');
  return received;
}

for (const path of ['routed', 'service'] as const)
  for (const isForwarded of [false, true])
    test(`a backend server gets the credentials of the caller and no secret of the daemons: ${path} path${isForwarded ? ', through another daemon' : ''}`, async t => {
      t.deepEqual(await runRequest(t, path, isForwarded), [
        'authorization: Bearer client-secret',
        'x-trace: t',
      ]);
    });
