/**
 * Tests of backend servers that send endless bytes in the head or body of a response. The caller must get an
 * outcome by its deadline, memory must stay bounded, the connection must be closed, and the slot must be
 * free for a request on a new connection.
 */
import {once} from 'node:events';
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import test from 'ava';
import type {Dispatcher} from 'undici';

import {createNodeSystem, waitFor} from '@dottereldrift/core/system.js';
import type {Member} from '@dottereldrift/core/types.js';
import {FifoPolicy} from '@dottereldrift/limits/fifo_policy.js';
import type {RequestKind} from '@dottereldrift/manifest/types.js';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import type {CallerProtocol} from '../src/caller_protocol.js';
import type {AttemptResult, RoutedRequest} from '../src/exchange.js';
import {MAX_UNDRAINED_BYTES} from '../src/http_attempt.js';
import {Owner} from '../src/owner.js';
import {ServerConnections} from '../src/server_connections.js';
import {createServerPool} from '../src/server_pool.js';
import {createLimits, ManualSystem, RecordingSink} from './fakes.js';

const SERVICE = 'menu';
const DEADLINE_MS = 400;
/** Time for which bytes are received before the deadline passes. */
const SAMPLING_MS = 400;
/** Timeout of a test. */
const TIMEOUT_MS = 30_000;
const SAMPLE_INTERVAL_MS = 25;
const MEBIBYTE = 1_024 * 1_024;
/** Maximum memory that one endless response may use. */
const MEMORY_BOUND_BYTES = 24 * MEBIBYTE;
const PART_BYTES = 64 * 1_024;
const OWN_ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown';
const FOREIGN_ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nforeign';

const realSystem = createNodeSystem();
setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Sends endless bytes on the first connection and a normal response on the others. */
class EndlessServer {
  readonly sockets: Socket[] = [];
  /** Bytes received on the first connection. */
  received = '';
  private readonly server: Server;
  private readonly part: Buffer;

  constructor(
    private readonly start: string,
    part: string,
  ) {
    this.part = Buffer.from(part.repeat(Math.ceil(PART_BYTES / part.length)));
    this.server = createServer(socket => {
      const isFirst = this.sockets.push(socket) === 1;
      socket.on('error', () => {});
      socket.once('data', () => {
        if (isFirst) this.sendForever(socket);
        else socket.write(OWN_ANSWER);
      });
      socket.on('data', chunk => {
        if (isFirst) this.received += chunk.toString('latin1');
      });
    });
  }

  async open(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
    await once(this.server, 'close');
  }

  private sendForever(socket: Socket): void {
    socket.write(this.start);
    const sendPart = () => {
      if (socket.destroyed) return;
      if (socket.write(this.part)) setImmediate(sendPart);
      else socket.once('drain', sendPart);
    };
    sendPart();
  }
}

/** A caller that reads no byte of its response. */
class SlowSink extends RecordingSink {
  waitingBytes = 0;
  private waiting: Buffer[] = [];

  override writeChunk(chunk: Buffer): boolean {
    this.waiting.push(chunk);
    this.waitingBytes += chunk.byteLength;
    return false;
  }

  override waitForDrain(): void {}

  override abort(): void {
    super.abort();
    this.waiting = [];
  }
}

const MEMBER: Member = {host: 'a', incarnation: '1'};
const KIND: RequestKind = {
  name: 'read',
  match: {},
  idempotent: false,
  deadlineMs: DEADLINE_MS,
  maxAttempts: 1,
  priority: 5,
  expectedServiceMs: 10,
  objective: 0.99,
};
const PROTOCOL: CallerProtocol = {
  parseRequest: () => ({requestId: 'a', deadlineMs: 800, key: undefined}),
  createServerHeaders: () => ({}),
  isServerRefusal: () => false,
  isIdentified: () => true,
  isForeignAnswer: () => false,
  createProblemHead: () => ({status: 503, headers: {}}),
};
const ROUTED: RoutedRequest = {
  protocol: PROTOCOL,
  authority: 'shop.example',
  requestId: 'a',
  origin: SERVICE,
  goalMs: DEADLINE_MS,
};

/** Creates an owner of one server with a single slot. */
function createOwner(
  system: ManualSystem,
  pool: Dispatcher,
  port: number,
): Owner {
  const info = {
    service: SERVICE,
    address: {ip: '127.0.0.1', port},
    slots: 1,
    connections: 4,
    isLeaving: false,
  };
  const connections = new ServerConnections(() => pool);
  const policy = new FifoPolicy(system, info.slots, () => 10);
  const never = {monotonicMs: Infinity, wallMs: Infinity};
  return new Owner(
    system,
    {isHeld: () => true, getMember: () => MEMBER, getEnd: () => never},
    {
      getServer: () => ({info, connections, policy}),
      getRules: () => undefined,
      isGranted: () => true,
      isAccepting: () => true,
      getGrantEnd: () => ({monotonicMs: 5_000, wallMs: 1_700_000_005_000}),
    },
    createLimits(),
  );
}

function send(
  system: ManualSystem,
  owner: Owner,
  sink: RecordingSink,
  routed?: RoutedRequest,
): Promise<AttemptResult> {
  const now = system.getNow();
  return owner.handle({
    method: 'POST',
    target: {service: SERVICE, key: undefined, path: '/run'},
    rules: {
      division: 'none',
      fencing: 'checked',
      maxRunMs: 1_000,
      slicesPerServer: 1,
      maxQueued: 10,
      kinds: [KIND],
    },
    kind: KIND,
    headers: {},
    body: {kind: 'buffered', bytes: Buffer.from('{}')},
    receivedAt: now,
    deadlineAtMs: now.monotonicMs + DEADLINE_MS,
    caller: '127.0.0.1',
    idempotencyKey: undefined,
    firstGeneration: undefined,
    firstSentWallMs: undefined,
    answer: sink,
    abandonment: new AbandonmentSignal(),
    ...(routed === undefined ? {} : {routed}),
  });
}

function formatResult(result: AttemptResult): string {
  if (result.kind === 'answered')
    return `${result.status} ${result.isTruncated ? 'cut' : 'whole'}`;
  return `${result.failure.outcome} ${result.failure.code}`;
}

function measureMemory(): number {
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

/** Returns the largest memory growth until a request has finished or the sampling time has passed. */
async function sampleGrowth(pending: Promise<unknown>): Promise<number> {
  const before = measureMemory();
  const endMs = realSystem.getNow().monotonicMs + SAMPLING_MS;
  let isFinished = false;
  void pending.finally(() => {
    isFinished = true;
  });
  let most = 0;
  while (!isFinished && realSystem.getNow().monotonicMs < endMs) {
    most = Math.max(most, measureMemory() - before);
    await waitFor(realSystem, SAMPLE_INTERVAL_MS);
  }
  return most;
}

interface Case {
  readonly name: string;
  readonly start: string;
  readonly part: string;
  readonly expected: RegExp;
  /** Whether the caller reads no byte of its response. */
  readonly isSlow?: boolean;
  readonly routed?: RoutedRequest;
  /** Whether the request finishes before its deadline. */
  readonly isFinishedEarly?: boolean;
}

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const CHUNK = `400\r\n${'a'.repeat(1_024)}\r\n`;
const UNKNOWN = /^unknown DD30(07|09)$/;
const CUT = /^200 cut$/;

const cases: readonly Case[] = [
  {name: 'garbage', start: '', part: 'garbage', expected: UNKNOWN},
  {name: 'empty lines', start: '', part: '\r\n', expected: UNKNOWN},
  {name: 'a reason', start: 'HTTP/1.1 200 ', part: 'a', expected: UNKNOWN},
  {name: 'a name of a header', start: HEAD, part: 'a', expected: UNKNOWN},
  {
    name: 'a value of a header',
    start: `${HEAD}x: `,
    part: 'a',
    expected: UNKNOWN,
  },
  {name: 'headers', start: HEAD, part: 'a: b\r\n', expected: UNKNOWN},
  {
    name: 'interim answers',
    start: '',
    part: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n',
    expected: UNKNOWN,
    isFinishedEarly: true,
  },
  {name: 'garbage for a chunk', start: CHUNKED, part: 'zz', expected: CUT},
  {name: 'digits of a chunk', start: CHUNKED, part: '0', expected: CUT},
  {
    name: 'an extension of a chunk',
    start: `${CHUNKED}1;`,
    part: 'a',
    expected: CUT,
  },
  {name: 'chunks', start: CHUNKED, part: CHUNK, expected: CUT, isSlow: true},
  {
    name: 'trailers',
    start: `${CHUNKED}0\r\n`,
    part: 'a: b\r\n',
    expected: CUT,
  },
  {
    name: 'garbage beyond the length',
    start: OWN_ANSWER,
    part: 'garbage',
    expected: /^200 whole$/,
  },
  {
    name: 'empty lines beyond the length',
    start: OWN_ANSWER,
    part: '\r\n',
    expected: /^200 whole$/,
  },
  {
    name: 'further answers beyond the length',
    start: OWN_ANSWER,
    part: FOREIGN_ANSWER,
    expected: /^200 whole$/,
  },
  {
    name: 'a body without a length',
    start: `${HEAD}\r\n`,
    part: 'a',
    expected: /^unknown DD3028$/,
    isFinishedEarly: true,
  },
  {
    name: 'the body of a refusal',
    start: `${HEAD}dottereldrift-refused: not-run\r\ntransfer-encoding: chunked\r\n\r\n`,
    part: CHUNK,
    expected: /^not-run DD3010$/,
    isFinishedEarly: true,
  },
  {
    name: 'a routed body without a length',
    start: `${HEAD}connection: close\r\n\r\n`,
    part: 'a',
    expected: CUT,
    isSlow: true,
    routed: ROUTED,
    isFinishedEarly: true,
  },
  {
    name: 'chunks of a connection that ends',
    start: `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n`,
    part: CHUNK,
    expected: CUT,
    isSlow: true,
    isFinishedEarly: true,
  },
];

for (const one of cases) {
  const {name, start, part, expected, isSlow, routed, isFinishedEarly} = one;
  test.serial(`${name} without end`, async t => {
    const server = new EndlessServer(start, part);
    const port = await server.open();
    const pool = createServerPool({
      service: SERVICE,
      address: {ip: '127.0.0.1', port},
      slots: 1,
      connections: 4,
      isLeaving: false,
    });
    t.teardown(async () => {
      await pool.destroy();
      await server.close();
    });
    t.timeout(TIMEOUT_MS);
    const system = new ManualSystem();
    const owner = createOwner(system, pool, port);
    const sink = isSlow === true ? new SlowSink() : new RecordingSink();
    const pending = send(system, owner, sink, routed);
    const growthBytes = await sampleGrowth(pending);
    if (isFinishedEarly !== true) system.shift(DEADLINE_MS);
    t.regex(formatResult(await pending), expected);
    t.log(`${Math.round(growthBytes / 1_024)} KiB`);
    if (sink instanceof SlowSink)
      t.true(sink.waitingBytes <= MAX_UNDRAINED_BYTES + PART_BYTES);
    t.true(growthBytes < MEMORY_BOUND_BYTES, `${growthBytes} bytes`);
    const next = new RecordingSink();
    t.is(formatResult(await send(system, owner, next)), '200 whole');
    t.is(next.body, 'own');
    const [first] = server.sockets;
    if (first?.destroyed === false) await once(first, 'close');
    t.is(server.received.split(' HTTP/1.1\r\n').length, 2);
    t.is(owner.getRunningCount(), 0);
  });
}
