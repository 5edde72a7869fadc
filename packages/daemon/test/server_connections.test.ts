/**
 * Tests that a late duplicate of a response is never taken for the response to the same request sent again.
 */
import type {Socket} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {FifoPolicy} from '@dottereldrift/limits/fifo_policy.js';
import type {RequestKind} from '@dottereldrift/manifest/types.js';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import type {CallerProtocol} from '../src/caller_protocol.js';
import {getHeader} from '../src/headers.js';
import {Owner} from '../src/owner.js';
import {ServerConnections} from '../src/server_connections.js';
import {createServerPool} from '../src/server_pool.js';
import {
  createLimits,
  FakeServer,
  ManualSystem,
  RecordingSink,
} from './fakes.js';

const SERVICE = 'pay';
const DEADLINE_MS = 1_000;
const CONNECTIONS = 5;
/** More sendings of one request than pools stay open. */
const SENDINGS = 12;
const KIND: RequestKind = {
  name: 'charge',
  match: {},
  idempotent: false,
  deadlineMs: DEADLINE_MS,
  maxAttempts: 1,
  priority: 0,
  expectedServiceMs: 10,
  objective: 0.99,
};
const PROTOCOL: CallerProtocol = {
  parseRequest: () => ({requestId: '', deadlineMs: 0, key: undefined}),
  createServerHeaders: ({requestId}) => ({'request-id': requestId}),
  isServerRefusal: (status, headers) =>
    status === 421 || getHeader(headers, 'not-run') !== undefined,
  isIdentified: headers => getHeader(headers, 'request-id') !== undefined,
  isForeignAnswer: (_status, headers, requestId) =>
    (getHeader(headers, 'request-id') ?? requestId) !== requestId,
  createProblemHead: () => ({status: 503, headers: {}}),
};

/** Creates the owner of one server. */
function createOwner(system: ManualSystem, port: number) {
  const info = {
    service: SERVICE,
    address: {ip: '127.0.0.1', port},
    slots: 4,
    connections: CONNECTIONS,
    isLeaving: false,
  };
  const connections = new ServerConnections(() => createServerPool(info));
  const policy = new FifoPolicy(system, info.slots, () => 10);
  const never = {monotonicMs: Infinity, wallMs: Infinity};
  const owner = new Owner(
    system,
    {
      isHeld: () => true,
      getMember: () => ({host: 'a', incarnation: '1'}),
      getEnd: () => never,
    },
    {
      getServer: () => ({info, connections, policy}),
      getRules: () => undefined,
      isGranted: () => true,
      isAccepting: () => true,
      getGrantEnd: () => never,
    },
    createLimits(),
  );
  return {owner, connections};
}

/** Starts a server and its owner; returns a function that sends a request and tells what is known of its outcome. */
async function startOwner(t: ExecutionContext, server: FakeServer) {
  const {port} = new URL(await server.start());
  const system = new ManualSystem();
  const {owner, connections} = createOwner(system, Number(port));
  t.teardown(async () => {
    await connections.destroy();
    await server.stop();
  });
  const sendRequest = (requestId: string) => send(system, owner, requestId);
  return {connections, sendRequest};
}

/** Sends a request to its owner as an entry does each time, and returns what is known of its outcome. */
async function send(
  system: ManualSystem,
  owner: Owner,
  requestId: string,
): Promise<string> {
  const now = system.getNow();
  const sink = new RecordingSink();
  const result = await owner.handle({
    method: 'POST',
    target: {service: SERVICE, key: undefined, path: '/charge'},
    rules: {
      division: 'none',
      fencing: 'checked',
      maxRunMs: DEADLINE_MS,
      slicesPerServer: 1,
      maxQueued: 10,
      kinds: [KIND],
    },
    kind: KIND,
    headers: {},
    body: {kind: 'none'},
    receivedAt: now,
    deadlineAtMs: now.monotonicMs + DEADLINE_MS,
    caller: SERVICE,
    idempotencyKey: undefined,
    firstGeneration: undefined,
    firstSentWallMs: undefined,
    answer: sink,
    abandonment: new AbandonmentSignal(),
    routed: {
      protocol: PROTOCOL,
      authority: 'pay.example',
      requestId,
      origin: SERVICE,
      goalMs: DEADLINE_MS,
    },
  });
  return result.kind === 'answered'
    ? `answered ${result.status} ${sink.body}`
    : `${result.failure.outcome} ${result.failure.code}`;
}

function formatResponse(
  status: string,
  requestId: string | undefined,
  body: string,
): string {
  const id = requestId === undefined ? '' : `request-id: ${requestId}\r\n`;
  return `HTTP/1.1 ${status}\r\n${id}content-length: ${body.length}\r\n\r\n${body}`;
}

/** Parses the identifiers of the requests that a connection has received. */
function parseRequestIds(received: string): readonly string[] {
  return [...received.matchAll(/request-id: (\w+)\r\n/g)].map(
    ([, requestId]) => requestId ?? '',
  );
}

/**
 * Creates a server that refuses the first sendings of every request, and sends a duplicate of each refusal when
 * the next request arrives on the same connection.
 */
function createRefusingServer(refusal: string, refusals: number) {
  const runs: string[] = [];
  const counts = new Map<string, number>();
  const duplicates = new Map<Socket, string>();
  const server = new FakeServer((socket, text) => {
    if (!text.endsWith('\r\n\r\n')) return;
    const requestId = parseRequestIds(text).at(-1) ?? '';
    socket.write(duplicates.get(socket) ?? '');
    duplicates.delete(socket);
    const count = (counts.get(requestId) ?? 0) + 1;
    counts.set(requestId, count);
    if (count <= refusals) {
      const response = formatResponse(refusal, requestId, '');
      duplicates.set(socket, response);
      socket.write(response);
      return;
    }
    runs.push(requestId);
    socket.write(formatResponse('200 OK', requestId, 'paid'));
  });
  return {server, runs};
}

for (const refusal of [
  '503 Service Unavailable\r\nnot-run: 1',
  '429 Too Many Requests\r\nnot-run: 1',
  '400 Bad Request\r\nnot-run: 1',
  '421 Misdirected Request',
]) {
  // Guards against an unsafe request that runs twice, or is reported as not run after it has run.
  test(`a late duplicate of a refusal is not taken for the response to the request sent again: ${refusal.slice(0, 3)}`, async t => {
    const refusals = 2;
    const {server, runs} = createRefusingServer(refusal, refusals);
    const {sendRequest} = await startOwner(t, server);
    const outcomes: string[] = [];
    for (let sending = 0; sending <= refusals; sending++)
      outcomes.push(await sendRequest('r1'));
    t.deepEqual(outcomes, [
      'not-run DD3010',
      'not-run DD3010',
      'answered 200 paid',
    ]);
    t.deepEqual(runs, ['r1']);
    for (const received of server.received)
      t.deepEqual(parseRequestIds(received), ['r1']);
  });
}

test('a request never meets a connection twice, however often it is sent', async t => {
  const {server, runs} = createRefusingServer('503 X\r\nnot-run: 1', 0);
  const {sendRequest} = await startOwner(t, server);
  const sent = Array.from({length: SENDINGS}, (_, index) => [
    'r1',
    `other${index}`,
    'r2',
  ]).flat();
  for (const requestId of sent)
    t.is(await sendRequest(requestId), 'answered 200 paid');
  t.deepEqual(runs, sent);
  for (const received of server.received) {
    const requestIds = parseRequestIds(received);
    t.is(new Set(requestIds).size, requestIds.length);
  }
});

// Guards against an unsafe request that runs and is reported as not run.
test('a late duplicate of a refusal that names no request is not taken for the response to another request', async t => {
  const refusal = formatResponse('503 X\r\nnot-run: 1', undefined, '');
  const server = new FakeServer((socket, text) => {
    const requestIds = parseRequestIds(text);
    if (!text.endsWith('\r\n\r\n')) return;
    const [first, second] = requestIds;
    if (first === 'r1') socket.write(refusal);
    if (second !== undefined || first !== 'r1')
      socket.write(formatResponse('200 OK', second ?? first, 'paid'));
  });
  const {sendRequest} = await startOwner(t, server);
  t.is(await sendRequest('r1'), 'not-run DD3010');
  await new Promise(resolve => setImmediate(resolve));
  t.is(await sendRequest('r2'), 'answered 200 paid');
});

test('closed connections send nothing, also of a request that is sent again', async t => {
  const {server, runs} = createRefusingServer('503 X\r\nnot-run: 1', 0);
  const {connections, sendRequest} = await startOwner(t, server);
  await sendRequest('r1');
  await connections.close();
  t.is(await sendRequest('r1'), 'not-run DD3008');
  t.deepEqual(runs, ['r1']);
});
