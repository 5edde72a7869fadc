/**
 * Tests of the data that an entry forwards to the owner with a routed request.
 */
import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import type {CallerProtocol} from '../src/caller_protocol.js';
import type {AttemptResult, Exchange} from '../src/exchange.js';
import {HttpForwarder} from '../src/forwarder.js';
import {
  OFFER_SHARE_HEADER,
  OFFERED_REQUESTS_HEADER,
  ROUTED_HEADER,
} from '../src/headers.js';
import {parseEnvelope} from '../src/routed_exchange_factory.js';
import {ManualSystem, RecordingSink} from './fakes.js';

const GOAL_MS = 200;
const WAITED_MS = 70;
const COMPLETED = {'content-length': 0, 'dottereldrift-outcome': 'completed'};

async function forwardTo(
  respond: RequestListener,
  offeredRequests?: number,
): Promise<AttemptResult> {
  const server = createServer(respond);
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
  const result = await forwarder.forward(
    candidate,
    exchange,
    0,
    offeredRequests,
  );
  await forwarder.close();
  server.close();
  return result;
}

test('a forwarded request carries the time left of its latency goal', async t => {
  const envelopes: string[] = [];
  const result = await forwardTo((request, response) => {
    envelopes.push(String(request.headers[ROUTED_HEADER]));
    response.writeHead(200, COMPLETED);
    response.end();
  });
  t.is(result.kind, 'answered');
  t.is(parseEnvelope(envelopes[0] ?? '')?.goalMs, GOAL_MS - WAITED_MS);
});

test('an offer tells for how many requests it stands, and a refusal what share to offer', async t => {
  const offered: unknown[] = [];
  const result = await forwardTo((request, response) => {
    offered.push(request.headers[OFFERED_REQUESTS_HEADER]);
    response.writeHead(429, {
      'content-length': 0,
      'dottereldrift-outcome': 'not-run',
      'dottereldrift-code': 'DD3011',
      [OFFER_SHARE_HEADER]: '0.250',
    });
    response.end();
  }, 3);
  t.deepEqual(offered, ['3']);
  t.is(result.kind === 'failed' && result.failure.offerShare, 0.25);
});

for (const [name, share, expected] of [
  ['no advice', undefined, 1],
  ['advice that is no share', '-3', 1],
  ['advice', '0.500', 0.5],
] as const) {
  test(`an answer with ${name} on offers`, async t => {
    const result = await forwardTo((_request, response) => {
      const advice = share === undefined ? {} : {[OFFER_SHARE_HEADER]: share};
      response.writeHead(200, {...COMPLETED, ...advice});
      response.end();
    });
    t.is(result.kind === 'answered' && result.offerShare, expected);
  });
}
