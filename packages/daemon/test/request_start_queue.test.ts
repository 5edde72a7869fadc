/**
 * Tests that new connections are accepted while many requests arrive on others. Guards against request
 * starts that occupy the event loop, which delays accepting because a listener accepts one connection per
 * iteration.
 */
import {once} from 'node:events';
import {type AddressInfo, connect, type Socket} from 'node:net';

import test from 'ava';

import {createNodeSystem} from '@dottereldrift/core/system.js';
import type {AcceptedManifest} from '@dottereldrift/manifest/types.js';

import type {CallerProtocol} from '../src/caller_protocol.js';
import type {AttemptResult} from '../src/exchange.js';
import {createNotRunFailure} from '../src/failures.js';
import {
  addRoutedCallerRoutes,
  createListener,
} from '../src/request_listener.js';
import {RoutedExchangeFactory} from '../src/routed_exchange_factory.js';

import {createLimits} from './fakes.js';

const BUSY_CONNECTIONS = 200;
const NEW_CONNECTIONS = 20;
/** Requests that may start per waiting new connection. */
const MAX_STARTS_PER_CONNECTION = 4;
const REQUEST = 'GET /menu/1 HTTP/1.1\r\nhost: shop.example\r\n\r\n';

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
        kind: {name: 'read', deadlineMs: 1_000},
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
  createProblemHead: () => ({status: 503, headers: {}}),
};

/** Sends the next request on a connection as soon as the previous one is answered. */
function sendContinuously(socket: Socket): void {
  socket.write(REQUEST);
  socket.on('data', () => socket.write(REQUEST));
}

test('new connections are accepted while many requests arrive on other connections', async t => {
  let started = 0;
  const factory = new RoutedExchangeFactory(
    createNodeSystem(),
    createLimits(),
    PROTOCOL,
    () => 'menu',
    () => ACCEPTED,
  );
  const app = createListener({...createLimits(), callerConnections: 1_000});
  const handle = (): Promise<AttemptResult> => {
    started += 1;
    return Promise.resolve({
      kind: 'failed',
      failure: createNotRunFailure('DD3004', 10),
    });
  };
  addRoutedCallerRoutes(
    app,
    PROTOCOL,
    factory,
    handle,
    () => {},
    () => {},
  );
  await app.listen({host: '127.0.0.1', port: 0});
  const {port} = app.server.address() as AddressInfo;
  const busySockets = Array.from({length: BUSY_CONNECTIONS}, () =>
    connect(port, '127.0.0.1'),
  );
  await Promise.all(busySockets.map(socket => once(socket, 'connect')));
  for (const socket of busySockets) sendContinuously(socket);
  await new Promise(resolve => setTimeout(resolve, 100));
  const startedBefore = started;
  let accepted = 0;
  const allAccepted = new Promise<void>(resolve => {
    app.server.on('connection', () => {
      accepted += 1;
      if (accepted === NEW_CONNECTIONS) resolve();
    });
  });
  const newSockets = Array.from({length: NEW_CONNECTIONS}, () =>
    connect(port, '127.0.0.1'),
  );
  await allAccepted;
  const startedMeanwhile = started - startedBefore;
  for (const socket of [...busySockets, ...newSockets]) socket.destroy();
  await app.close();
  t.true(
    startedMeanwhile <= NEW_CONNECTIONS * MAX_STARTS_PER_CONNECTION,
    `${startedMeanwhile} requests started while ${NEW_CONNECTIONS} connections waited`,
  );
});
