/**
 * Tests of the data that an entry forwards to the owner with a routed request.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import type {CallerProtocol} from '../src/caller_protocol.js';
import type {Exchange} from '../src/exchange.js';
import {HttpForwarder} from '../src/forwarder.js';
import {ROUTED_HEADER} from '../src/headers.js';
import {parseEnvelope} from '../src/routed_exchange_factory.js';
import {ManualSystem, RecordingSink} from './fakes.js';

const GOAL_MS = 200;
const WAITED_MS = 70;

test('a forwarded request carries the time left of its latency goal', async t => {
  const envelopes: string[] = [];
  const server = createServer((request, response) => {
    envelopes.push(String(request.headers[ROUTED_HEADER]));
    response.writeHead(200, {
      'content-length': 0,
      'dottereldrift-outcome': 'completed',
    });
    response.end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const system = new ManualSystem();
  const receivedAt = system.getNow();
  system.shift(WAITED_MS);
  const forwarder = new HttpForwarder(system, 'key of the fleet', '127.0.0.1');
  const kind = {name: 'read', idempotent: true, priority: 5};
  const exchange = {
    method: 'GET',
    target: {service: 'menu', key: undefined, path: '/menu/1'},
    kind: {...kind, expectedServiceMs: 10},
    headers: {},
    body: {kind: 'none'},
    receivedAt,
    deadlineAtMs: receivedAt.monotonicMs + 1_000,
    caller: 'menu',
    routed: {
      protocol: {} as CallerProtocol,
      authority: 'shop.example',
      requestId: 'a',
      origin: 'menu',
      goalMs: GOAL_MS,
    },
    answer: new RecordingSink(),
    abandonment: new AbandonmentSignal(),
  } as unknown as Exchange;
  const member = {host: 'h2', incarnation: 'a'};
  const peerAddress = {ip: '127.0.0.1', port};
  const candidate = {member, peerAddress, isLocal: false};
  const result = await forwarder.forward(candidate, exchange, 0);
  t.is(result.kind, 'answered');
  t.is(parseEnvelope(envelopes[0] ?? '')?.goalMs, GOAL_MS - WAITED_MS);
  await forwarder.close();
  server.close();
});
