/**
 * Tests of the headers of a routed request that are forwarded to another daemon and to the backend server.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import type {AdmittedRequest} from '../src/admission.js';
import {createRoutedOptions} from '../src/protocol_options.js';
import type {CallerProtocol, ServerRequest} from '../src/caller_protocol.js';
import type {Exchange, RoutedRequest} from '../src/exchange.js';
import {HttpForwarder} from '../src/forwarder.js';
import {
  CALLER_HEADER,
  FIRST_GENERATION_HEADER,
  GENERATION_HEADER,
  FORWARDED_AUTHORIZATION_HEADER,
  REMAINING_HEADER,
  ROUTED_HEADER,
} from '../src/headers.js';
import {ManualSystem, RecordingSink} from './fakes.js';

const REMAINING_MS = 1_000;
const CALLER_HEADERS = {
  authorization: 'Basic a',
  constructor: 'b',
  'x-many': ['1', '2'],
  'deadline-ms': '7000',
};

function createRouted(): RoutedRequest {
  return {
    protocol: {
      createServerHeaders: ({remainingMs}: ServerRequest) => ({
        'deadline-ms': String(remainingMs),
        instance: 'i',
      }),
    } as unknown as CallerProtocol,
    authority: 'shop.example',
    requestId: 'a',
    origin: 'menu',
    goalMs: 200,
  };
}

function createExchange(system: ManualSystem): Exchange {
  const receivedAt = system.getNow();
  return {
    method: 'GET',
    target: {service: 'menu', key: undefined, path: '/menu/1'},
    kind: {name: 'read', idempotent: true, priority: 5, expectedServiceMs: 10},
    headers: CALLER_HEADERS,
    body: {kind: 'none'},
    receivedAt,
    deadlineAtMs: receivedAt.monotonicMs + REMAINING_MS,
    caller: 'rutas',
    firstGeneration: 3,
    routed: createRouted(),
    answer: new RecordingSink(),
    abandonment: new AbandonmentSignal(),
  } as unknown as Exchange;
}

/** Returns the headers as sorted `name: value` lines. */
function listHeaderPairs(raw: readonly string[]): readonly string[] {
  const names = raw.filter((_, index) => index % 2 === 0);
  return names.map((name, at) => `${name}: ${raw[2 * at + 1]}`).sort();
}

test('a daemon receives every header of the caller, with its credentials under a separate name', async t => {
  const heads: string[][] = [];
  const server = createServer((request, response) => {
    heads.push(request.rawHeaders);
    response.writeHead(200, {'content-length': 0});
    response.end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const system = new ManualSystem();
  const forwarder = new HttpForwarder(system, 'key', '127.0.0.1');
  const candidate = {
    member: {host: 'h2', incarnation: 'a'},
    peerAddress: {ip: '127.0.0.1', port},
    isLocal: false,
  };
  await forwarder.forward(candidate, createExchange(system), 4);
  t.deepEqual(listHeaderPairs(heads[0] ?? []), [
    'authorization: Bearer key',
    'connection: keep-alive',
    'constructor: b',
    'deadline-ms: 7000',
    `${FORWARDED_AUTHORIZATION_HEADER}: Basic a`,
    `${CALLER_HEADER}: rutas`,
    `${FIRST_GENERATION_HEADER}: 3`,
    `${GENERATION_HEADER}: 4`,
    `${REMAINING_HEADER}: ${REMAINING_MS}`,
    `${ROUTED_HEADER}: menu menu 200 read 1 5 10`,
    'host: shop.example',
    'x-many: 1',
    'x-many: 2',
  ]);
  await forwarder.close();
  server.close();
});

test('protocol headers override headers of the caller in a request to a backend server', t => {
  const exchange = createExchange(new ManualSystem());
  const server = {instanceId: 'i'};
  const admitted = {exchange, server} as unknown as AdmittedRequest;
  const {headers} = createRoutedOptions(admitted, createRouted(), REMAINING_MS);
  t.deepEqual(headers, [
    'host',
    'shop.example',
    'authorization',
    'Basic a',
    'constructor',
    'b',
    'x-many',
    '1',
    'x-many',
    '2',
    'deadline-ms',
    String(REMAINING_MS),
    'instance',
    'i',
  ]);
});
