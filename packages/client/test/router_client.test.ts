/**
 * Tests of the embeddable client against fake daemons.
 */
import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {findOwnerAddress, parseRouteTable} from '../src/route_table.js';
import {RouterClient} from '../src/router_client.js';
import type {ClientRequest, ClientResult} from '../src/types.js';

const HALF_RING = 2 ** 31;
const DEADLINE_MS = 5_000;
const REQUEST: ClientRequest = {
  service: 'menu',
  key: 'floor-3',
  path: '/order',
  method: 'POST',
  body: '{}',
  idempotencyKey: 'once',
  deadlineMs: DEADLINE_MS,
};

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

class FakeDaemon {
  readonly requests: IncomingMessage[] = [];
  routes: object | undefined;
  address = '';
  private readonly server: Server;

  constructor(handle: Handler) {
    this.server = createServer((request, response) => {
      if (request.url?.startsWith('/routes/') === true) {
        response.statusCode = this.routes === undefined ? 204 : 200;
        response.end(
          this.routes === undefined ? '' : JSON.stringify(this.routes),
        );
        return;
      }
      this.requests.push(request);
      handle(request, response);
    });
  }

  async start(): Promise<void> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
    await once(this.server, 'close');
  }
}

function sendCompleted(_request: IncomingMessage, response: ServerResponse) {
  response.setHeader('dottereldrift-outcome', 'completed');
  response.end('done');
}

/** Returns a handler that responds with an outcome and a code. */
function createRefusalHandler(outcome: string, code: string): Handler {
  return (_request, response) => {
    response.statusCode = 503;
    response.setHeader('dottereldrift-outcome', outcome);
    response.setHeader('dottereldrift-code', code);
    response.end('{}');
  };
}

/** Returns routes in which all slices have the same owner. */
function createRoutes(
  generation: number,
  daemons: readonly FakeDaemon[],
  owner: number,
): object {
  return {
    service: 'menu',
    division: 'byKey',
    generation,
    daemons: daemons.map(daemon => daemon.address),
    slices: [
      [0, owner],
      [HALF_RING, owner],
    ],
  };
}

async function startPair(
  first: Handler,
  second: Handler,
): Promise<readonly [FakeDaemon, FakeDaemon]> {
  const pair = [new FakeDaemon(first), new FakeDaemon(second)] as const;
  await Promise.all(pair.map(daemon => daemon.start()));
  return pair;
}

function formatResult(result: ClientResult): string {
  return result.outcome === 'completed'
    ? `completed ${Buffer.from(result.body).toString()}`
    : `${result.outcome} ${result.code}`.trimEnd();
}

test('a request is sent directly to the owner, with the stamp of its first attempt', async t => {
  const [seed, owner] = await startPair(sendCompleted, sendCompleted);
  seed.routes = createRoutes(4, [seed, owner], 1);
  const client = new RouterClient({seeds: [seed.address]});
  const result = await client.send(REQUEST);
  t.is(formatResult(result), 'completed done');
  t.is(seed.requests.length, 0);
  const sent = owner.requests[0];
  t.is(sent?.url, '/services/menu/keys/floor-3/order');
  t.is(sent?.headers['request-first-generation'], '4');
  t.is(
    sent?.headers['request-first-sent-unix-ms'],
    String(result.stamp.firstSentUnixMs),
  );
  await client.send({
    ...REQUEST,
    stamp: {firstGeneration: 1, firstSentUnixMs: 2},
  });
  t.is(owner.requests[1]?.headers['request-first-generation'], '1');
  await client.close();
  await Promise.all([seed.stop(), owner.stop()]);
});

test('a request is retried on another daemon if the owner is unreachable', async t => {
  const [seed, owner] = await startPair(sendCompleted, sendCompleted);
  seed.routes = createRoutes(4, [seed, owner], 1);
  await owner.stop();
  const client = new RouterClient({seeds: [seed.address]});
  t.is(formatResult(await client.send(REQUEST)), 'completed done');
  t.is(seed.requests.length, 1);
  await client.close();
  await seed.stop();
});

test('a request is retried on another daemon if the owner has no lease, but not after an unknown outcome', async t => {
  for (const [handle, expected, asked] of [
    [createRefusalHandler('not-run', 'DD3016'), 'completed done', 1],
    [createRefusalHandler('not-run', 'DD3011'), 'not-run DD3011', 0],
    [createRefusalHandler('unknown', 'DD3009'), 'unknown DD3009', 0],
    [createRefusalHandler('nonsense', ''), 'unknown', 0],
    [(request: IncomingMessage) => request.socket.destroy(), 'unknown', 0],
  ] as const) {
    const [seed, owner] = await startPair(sendCompleted, handle);
    seed.routes = createRoutes(4, [seed, owner], 1);
    const client = new RouterClient({seeds: [seed.address]});
    t.is(formatResult(await client.send(REQUEST)), expected);
    t.is(seed.requests.length, asked);
    await client.close();
    await Promise.all([seed.stop(), owner.stop()]);
  }
});

test('a newer generation in a response makes the client refresh its routes', async t => {
  const [first, second] = await startPair((_request, response) => {
    first.routes = createRoutes(5, [first, second], 1);
    response.setHeader('dottereldrift-generation', '5');
    response.setHeader('dottereldrift-outcome', 'completed');
    response.end('done');
  }, sendCompleted);
  first.routes = createRoutes(4, [first, second], 0);
  const client = new RouterClient({seeds: [first.address]});
  await client.send(REQUEST);
  while (client.getGeneration('menu') < 5)
    await new Promise(resolve => setImmediate(resolve));
  await client.send(REQUEST);
  t.is(second.requests.length, 1);
  await client.close();
  await Promise.all([first.stop(), second.stop()]);
});

test('without a daemon the request was not run', async t => {
  const client = new RouterClient({seeds: []});
  t.is(formatResult(await client.send(REQUEST)), 'not-run');
  await client.close();
});

test('malformed routes are rejected', t => {
  for (const text of ['', '[]', '{}', '{"service":1}', '{"slices":[[0]]}'])
    t.true(E.isLeft(parseRouteTable(text)));
  const parsed = parseRouteTable(
    '{"service":"menu","division":"byKey","generation":1,"daemons":["a:1"],"slices":[[0,-1]]}',
  );
  if (E.isLeft(parsed)) throw new Error(parsed.left);
  t.is(findOwnerAddress(parsed.right, 'any'), undefined);
});
