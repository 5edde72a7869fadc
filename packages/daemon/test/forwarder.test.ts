/**
 * Tests of what a daemon tells another of a routed request.
 */
import {once} from 'node:events';
import {createServer, type IncomingHttpHeaders} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {Abandonment} from '../src/abandonment.js';
import type {CallerProtocol} from '../src/caller_protocol.js';
import type {Exchange} from '../src/exchange.js';
import {HttpForwarder} from '../src/forwarder.js';
import {NESTED_HEADER, ROUTED_HEADER} from '../src/headers.js';
import {parseEnvelope} from '../src/routed_exchange_factory.js';
import {ManualSystem, RecordingSink} from './fakes.js';

const GOAL_MS = 200;
const WAITED_MS = 70;
/** What a daemon of the version before reads. */
const FIELDS = 7;

/** Forwards a request and returns the headers that its owner gets. */
async function forward(isNested: boolean): Promise<IncomingHttpHeaders> {
  const heads: IncomingHttpHeaders[] = [];
  const server = createServer((request, response) => {
    heads.push(request.headers);
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
      isNested,
    },
    answer: new RecordingSink(),
    abandonment: new Abandonment(),
  } as unknown as Exchange;
  const member = {host: 'h2', incarnation: 'a'};
  const peerAddress = {ip: '127.0.0.1', port};
  const candidate = {member, peerAddress, isLocal: false};
  await forwarder.forward(candidate, exchange, 0);
  await forwarder.close();
  server.close();
  return heads[0] ?? {};
}

test('an owner is told what is left of the goal when a request leaves its entry', async t => {
  const envelope = String((await forward(false))[ROUTED_HEADER]);
  t.is(parseEnvelope(envelope)?.goalMs, GOAL_MS - WAITED_MS);
});

test('an owner is told whether a run at another server waits, and one of the version before reads the rest', async t => {
  const nested = await forward(true);
  const plain = await forward(false);
  t.not(nested[NESTED_HEADER], undefined);
  t.is(plain[NESTED_HEADER], undefined);
  t.is(nested[ROUTED_HEADER], plain[ROUTED_HEADER]);
  t.is(String(nested[ROUTED_HEADER]).split(' ').length, FIELDS);
});

test('an envelope of a later version with a field more is read', t => {
  const present = 'menu menu 100 read 1 5 10';
  t.deepEqual(parseEnvelope(`${present} 9`), parseEnvelope(present));
  t.not(parseEnvelope(present), undefined);
  t.is(parseEnvelope('menu menu 100 read 1 5'), undefined);
});
