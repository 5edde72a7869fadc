/**
 * Tests of the request listeners: invalid input gets a problem response with the outcome `not-run`, internal
 * headers of callers are dropped, and no input ends the process.
 */
import {once} from 'node:events';
import {type AddressInfo, connect} from 'node:net';

import test from 'ava';
import fc from 'fast-check';
import type {FastifyInstance} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';

import {createNodeSystem} from '@dottereldrift/core/system.js';
import {checkManifest} from '@dottereldrift/manifest/check.js';
import type {Manifest} from '@dottereldrift/manifest/types.js';
import {parseTarget} from '@dottereldrift/routing/request_target.js';

import type {AttemptResult, Exchange} from '../src/exchange.js';
import {ExchangeFactory} from '../src/exchange_factory.js';
import {createNotRunFailure} from '../src/failures.js';
import {formatTarget} from '../src/forwarder.js';
import {filterHeaders, type RequestSource} from '../src/headers.js';
import {addRequestRoutes, createListener} from '../src/request_listener.js';
import type {Limits} from '../src/settings.js';

const SEED = 8;
const LIMITS = {
  bodyBytes: 2_048,
  bufferedBodyBytes: 1_024,
  headerBytes: 8_192,
  callerConnections: 100,
} as Limits;

function createManifest(): Manifest {
  const kinds = [{name: 'any', idempotent: false, deadlineMs: 1_000}];
  const checked = checkManifest(
    JSON.stringify({
      services: {
        menu: {division: 'byKey', kinds},
        rutas: {division: 'none', kinds},
      },
    }),
  );
  if (E.isLeft(checked)) throw new Error('The manifest is not valid.');
  return checked.right;
}

interface TestListener {
  readonly app: FastifyInstance;
  readonly port: number;
  readonly seen: Exchange[];
}

async function startTestListener(
  source: RequestSource = 'caller',
  onExchange: (exchange: Exchange) => AttemptResult | void = () => {},
): Promise<TestListener> {
  const app = createListener(LIMITS);
  const manifest = createManifest();
  const factory = new ExchangeFactory(
    createNodeSystem(),
    LIMITS,
    () => manifest,
  );
  const seen: Exchange[] = [];
  addRequestRoutes(
    app,
    source,
    factory,
    exchange => {
      seen.push(exchange);
      const result = onExchange(exchange);
      if (result !== undefined) return Promise.resolve(result);
      exchange.answer.startAnswer(200, {'dottereldrift-outcome': 'completed'});
      exchange.answer.endAnswer({});
      return Promise.resolve({
        kind: 'answered',
        status: 200,
        isTruncated: false,
      });
    },
    () => {},
    () => {},
  );
  await app.listen({host: '127.0.0.1', port: 0});
  const {port} = app.server.address() as AddressInfo;
  return {app, port, seen};
}

/** Sends bytes, half-closes the connection and returns everything received until it is closed. */
async function sendBytes(port: number, bytes: Buffer): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', chunk => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => {});
  socket.end(bytes);
  await once(socket, 'close');
  return text;
}

function createRequest(line: string, headers: string, body = ''): Buffer {
  const head = `${line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n${headers}`;
  return Buffer.from(`${head}\r\n${body}`, 'latin1');
}

/** Returns the status, outcome and code of a response. */
function formatAnswer(text: string): string {
  const status = /^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 'none';
  const outcome = /dottereldrift-outcome: (\S+)/i.exec(text)?.[1] ?? 'none';
  const code = /dottereldrift-code: (\S+)/i.exec(text)?.[1] ?? '';
  return `${status} ${outcome} ${code}`.trimEnd();
}

const PATH = '/services/menu/keys/floor-3/view';

// Guards against a request that may have run and whose status promises that it was not.
test('a request that a stop ended gets 503 only if it was not run', async t => {
  const {app, port} = await startTestListener('caller', exchange => {
    const outcome = exchange.target.path === '/sent' ? 'unknown' : 'not-run';
    const failure = {...createNotRunFailure('DD3021', 0), outcome} as const;
    return {kind: 'failed', failure};
  });
  const send = async (path: string) =>
    formatAnswer(await sendBytes(port, createRequest(`GET ${path}`, '')));
  t.is(await send('/services/menu/keys/a/sent'), '502 unknown DD3021');
  t.is(await send('/services/menu/keys/a/waiting'), '503 not-run DD3021');
  await app.close();
});

test('bad input gets a problem with its outcome', async t => {
  const {app, port, seen} = await startTestListener();
  const cases: ReadonlyArray<readonly [string, Buffer]> = [
    ['no such path', createRequest('GET /other', '')],
    ['unknown service', createRequest('GET /services/nope/keys/a/x', '')],
    ['key missing', createRequest('GET /services/menu/view', '')],
    ['key not wanted', createRequest('GET /services/rutas/keys/a/x', '')],
    ['half an escape', createRequest('GET /services/menu/keys/%e/x', '')],
    ['not UTF-8', createRequest('GET /services/menu/keys/%ff/x', '')],
    ['raw bytes', createRequest('GET /services/menu/keys/\xe9/x', '')],
    [
      'key too long',
      createRequest(`GET /services/menu/keys/${'%41'.repeat(1_025)}`, ''),
    ],
    ['deadline 0', createRequest(`GET ${PATH}`, 'request-deadline-ms: 0\r\n')],
    ['deadline x', createRequest(`GET ${PATH}`, 'request-deadline-ms: x\r\n')],
    [
      'deadline twice',
      createRequest(
        `GET ${PATH}`,
        'request-deadline-ms: 1\r\nrequest-deadline-ms: 2\r\n',
      ),
    ],
    [
      'stamp not a number',
      createRequest(`GET ${PATH}`, 'request-first-sent-unix-ms: 1e9\r\n'),
    ],
    [
      'generation below 0',
      createRequest(`GET ${PATH}`, 'request-first-generation: -1\r\n'),
    ],
    [
      'idempotency key too long',
      createRequest(`GET ${PATH}`, `idempotency-key: ${'k'.repeat(257)}\r\n`),
    ],
    [
      'idempotency key empty',
      createRequest(`GET ${PATH}`, 'idempotency-key:\r\n'),
    ],
    [
      'head too large',
      createRequest(`GET ${PATH}`, `x: ${'y'.repeat(9_000)}\r\n`),
    ],
    [
      'body too large',
      createRequest(`POST ${PATH}`, 'content-length: 2049\r\n'),
    ],
    ['not HTTP', Buffer.from('garbage\r\n\r\n')],
    ['unknown method', createRequest(`BREW ${PATH}`, '')],
    ['HEAD of nothing', createRequest('HEAD /other', '')],
    [
      'two lengths',
      createRequest(
        `POST ${PATH}`,
        'content-length: 1\r\ncontent-length: 2\r\n',
      ),
    ],
  ];
  const answers: string[] = [];
  for (const [name, bytes] of cases)
    answers.push(`${name}: ${formatAnswer(await sendBytes(port, bytes))}`);
  t.snapshot(answers);
  t.deepEqual(seen, []);
  await app.close();
});

for (const source of ['caller', 'peer'] as const) {
  test(`a target with bytes outside printable ASCII is rejected without being run, from a ${source}`, async t => {
    const {app, port, seen} = await startTestListener(source);
    for (const byte of ['\t', '\f', '\x80', '\xe9', '\xff']) {
      for (const target of [
        `/services/menu/keys/${byte}/x`,
        `${PATH}?a=${byte}`,
        `/other/${byte}`,
      ]) {
        const answer = await sendBytes(
          port,
          createRequest(`GET ${target}`, ''),
        );
        t.is(
          formatAnswer(answer),
          '400 not-run DD3030',
          JSON.stringify(target),
        );
      }
    }
    t.deepEqual(seen, []);
    await app.close();
  });
}

test('internal headers of a caller are dropped, and those of a peer are read', async t => {
  const headers = [
    'dottereldrift-remaining-ms: 5',
    'dottereldrift-first-generation: 9',
    'dottereldrift-token: 7',
    'Dottereldrift-Caller: somebody',
    'connection: x-private',
    'x-private: 1',
    'te: trailers',
    'authorization: mine',
    'dottereldrift-authorization: passed',
    'x-kept: 1',
    '',
  ].join('\r\n');
  const summaries: unknown[] = [];
  for (const source of ['caller', 'peer'] as const) {
    const {app, port, seen} = await startTestListener(source);
    await sendBytes(port, createRequest(`GET ${PATH}`, headers));
    const exchange = seen[0];
    summaries.push({
      source,
      headers: {...exchange?.headers},
      caller: exchange?.caller,
      firstGeneration: exchange?.firstGeneration,
      allowedMs:
        (exchange?.deadlineAtMs ?? 0) - (exchange?.receivedAt.monotonicMs ?? 0),
    });
    await app.close();
  }
  t.snapshot(summaries);
});

test('a failure after the response head was sent closes the connection and leaves the listener working', async t => {
  const {app, port} = await startTestListener('caller', exchange => {
    if (exchange.target.path !== '/break') return;
    exchange.answer.startAnswer(200, {'content-length': '9'});
    throw new Error('a defect');
  });
  const path = '/services/menu/keys/a';
  const broken = await sendBytes(port, createRequest(`GET ${path}/break`, ''));
  t.false(broken.includes('DD3099'));
  const next = await sendBytes(port, createRequest(`GET ${path}/x`, ''));
  t.is(formatAnswer(next), '200 completed');
  await app.close();
});

test('arbitrary input leaves the listener working', async t => {
  const {app, port} = await startTestListener();
  const part = fc.oneof(
    fc.uint8Array({maxLength: 40}).map(bytes => Buffer.from(bytes)),
    fc.constantFrom(
      ...[
        `GET ${PATH} HTTP/1.1\r\n`,
        'host: a\r\n',
        'content-length: 5\r\n',
        'transfer-encoding: chunked\r\n',
        'expect: 100-continue\r\n',
        'upgrade: x\r\nconnection: upgrade\r\n',
        '\r\n',
        '5\r\nhello\r\n0\r\n\r\n',
      ].map(text => Buffer.from(text)),
    ),
  );
  const property = fc.asyncProperty(
    fc.array(part, {maxLength: 8}),
    async parts => {
      await sendBytes(port, Buffer.concat(parts));
    },
  );
  await fc.assert(property, {seed: SEED, numRuns: 300});
  const answer = await sendBytes(port, createRequest(`GET ${PATH}`, ''));
  t.is(formatAnswer(answer), '200 completed');
  await app.close();
});

test('a request target is unchanged by formatting and parsing it again, for any key', t => {
  const property = fc.property(
    fc.string({unit: 'grapheme', minLength: 1, maxLength: 30}),
    fc.webPath(),
    (key, path) => {
      const url = `/services/menu/keys/${encodeURIComponent(key)}${path}`;
      const first = parseTarget(url);
      if (E.isLeft(first)) return false;
      const second = parseTarget(formatTarget(first.right));
      return (
        first.right.key === key &&
        E.isRight(second) &&
        JSON.stringify(second.right) === JSON.stringify(first.right)
      );
    },
  );
  fc.assert(property, {seed: SEED, numRuns: 1_000});
  const anything = fc.property(fc.string({unit: 'binary'}), url => {
    parseTarget(url);
  });
  fc.assert(anything, {seed: SEED, numRuns: 1_000});
  t.pass();
});

test('internal and hop-by-hop headers are not forwarded', t => {
  const name = fc.oneof(
    fc.constantFrom('te', 'connection', 'host', 'x-a', 'x-b', 'keep-alive'),
    fc.string({maxLength: 8}).map(end => `dottereldrift-${end}`),
  );
  const value = fc.constantFrom('x-a', 'close, x-b', '1');
  const property = fc.property(fc.dictionary(name, value), headers => {
    const named = String(headers['connection'] ?? '');
    return Object.keys(filterHeaders(headers)).every(
      passed => passed.startsWith('x-') && !named.includes(passed),
    );
  });
  fc.assert(property, {seed: SEED, numRuns: 1_000});
  t.pass();
});
