/**
 * Tests of the owner stage: duplicates run at most once, and no request is sent when the lease, the
 * incarnation of the daemon or the slice has changed since admission.
 */
import type {Socket} from 'node:net';

import test from 'ava';
import {Pool} from 'undici';

import type {Member} from '@dottereldrift/core/types.js';
import {EgressAdmission} from '@dottereldrift/limits/egress_admission.js';
import {FifoPolicy} from '@dottereldrift/limits/fifo_policy.js';
import type {SlotRequest} from '@dottereldrift/limits/types.js';
import type {RequestKind} from '@dottereldrift/manifest/types.js';
import type {Slice} from '@dottereldrift/ownership/types.js';
import type {HostCounts} from '@dottereldrift/routing/nested_kind_detector.js';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import type {CallerProtocol} from '../src/caller_protocol.js';
import type {AttemptResult, Exchange, RoutedRequest} from '../src/exchange.js';
import {Owner} from '../src/owner.js';
import {ServerConnections} from '../src/server_connections.js';
import type {Limits} from '../src/settings.js';
import {FakeServer, ManualSystem, RecordingSink} from './fakes.js';

const SERVICE = 'pot-view';
const RETENTION_MS = 600_000;
const DEADLINE_MS = 1_000;
const LIMITS = {
  idempotencyEntries: 3,
  idempotencyBytes: 100_000,
  idempotencyRetentionMs: RETENTION_MS,
  keptAnswerBytes: 100,
} as Limits;
const KIND: RequestKind = {
  name: 'write',
  match: {},
  idempotent: false,
  deadlineMs: DEADLINE_MS,
  maxAttempts: 3,
  priority: 5,
  expectedServiceMs: 10,
  objective: 0.99,
};
const ANSWER =
  'HTTP/1.1 201 Created\r\nset-cookie: a=1\r\nset-cookie: b=2\r\ncontent-length: 4\r\n\r\npaid';

/** Creates the properties of a routed request that originated on a host of a service. */
function createRouted(origin: string): RoutedRequest {
  const protocol = {
    createServerHeaders: () => ({}),
    isIdentified: () => true,
    isForeignAnswer: () => false,
    isServerRefusal: () => false,
  } as unknown as CallerProtocol;
  return {
    protocol,
    authority: 'shop.example',
    requestId: 'a',
    origin,
    goalMs: DEADLINE_MS,
  };
}

interface SendResult {
  readonly result: AttemptResult;
  readonly sink: RecordingSink;
}

class OwnerFixture {
  readonly system = new ManualSystem();
  readonly server: FakeServer;
  member: Member = {host: 'a', incarnation: '1'};
  isHeld = true;
  owner!: Owner;
  onSlotRequest: (request: SlotRequest) => void = () => {};
  private pool!: Pool;
  private generation = 0;

  constructor(script: (socket: Socket, text: string) => void) {
    this.server = new FakeServer(script);
  }

  async start(
    slots = 4,
    countHosts?: () => HostCounts,
    egress?: EgressAdmission,
  ): Promise<void> {
    const url = await this.server.start();
    this.pool = new Pool(url, {connections: 8});
    const policy = new FifoPolicy(this.system, slots, () => 10);
    const requestSlot = policy.requestSlot.bind(policy);
    policy.requestSlot = request => {
      this.onSlotRequest(request);
      return requestSlot(request);
    };
    const info = {
      service: SERVICE,
      address: {ip: '127.0.0.1', port: 1},
      slots,
      connections: 9,
      isLeaving: false,
    };
    const connections = new ServerConnections(() => this.pool);
    const local = {info, connections, policy};
    this.owner = new Owner(
      this.system,
      {
        isHeld: () => this.isHeld,
        getMember: () => this.member,
        getEnd: () => ({monotonicMs: 5_000, wallMs: 1_700_000_005_000}),
      },
      {
        getServer: () => local,
        getRules: () => undefined,
        isGranted: () => true,
        isAccepting: () => true,
        getGrantEnd: () => ({monotonicMs: 5_000, wallMs: 1_700_000_005_000}),
      },
      LIMITS,
      countHosts,
      egress,
    );
    this.applySlice({});
  }

  /** Assigns the only slice, by default to this daemon's member under a new token. */
  applySlice(change: Partial<Slice>): void {
    this.generation += 1;
    const slice: Slice = {
      start: 0,
      owner: this.member,
      token: this.generation,
      nextOwner: undefined,
      recordsSince: 0,
      ...change,
    };
    this.owner.applyAssignment({
      service: SERVICE,
      generation: this.generation,
      slices: [slice],
      writer: this.member,
    });
  }

  async send(change: Partial<Exchange> = {}): Promise<SendResult> {
    const sink = new RecordingSink();
    const now = this.system.getNow();
    const result = await this.owner.handle({
      method: 'POST',
      target: {service: SERVICE, key: 'pot-1', path: '/pay'},
      rules: {
        division: 'byKey',
        fencing: 'checked',
        maxRunMs: 1_000,
        slicesPerServer: 1,
        maxQueued: 10,
        kinds: [KIND],
      },
      kind: KIND,
      headers: {'request-id': 'r'},
      body: {kind: 'buffered', bytes: Buffer.from('{}')},
      receivedAt: now,
      deadlineAtMs: now.monotonicMs + DEADLINE_MS,
      caller: '127.0.0.1',
      idempotencyKey: 'once',
      firstGeneration: undefined,
      firstSentWallMs: undefined,
      answer: sink,
      abandonment: new AbandonmentSignal(),
      ...change,
    });
    return {result, sink};
  }

  async waitForRequests(count: number): Promise<void> {
    while (this.server.countRequests() < count)
      await new Promise(resolve => setImmediate(resolve));
  }

  async stop(): Promise<void> {
    await this.pool.destroy();
    await this.server.stop();
  }
}

function answerAlways(socket: Socket, text: string): void {
  if (text.endsWith('{}')) socket.write(ANSWER);
}

function format({result, sink}: SendResult): string {
  if (result.kind === 'answered')
    return `${result.status} ${sink.state} ${sink.body}`;
  return `${result.failure.outcome} ${result.failure.code}`;
}

test('a duplicate gets the stored response with all header values and does not run', async t => {
  const fixture = new OwnerFixture(answerAlways);
  await fixture.start();
  const first = await fixture.send();
  const second = await fixture.send();
  t.is(format(first), '201 whole paid');
  t.is(format(second), '201 whole paid');
  t.deepEqual(second.sink.headers, {...first.sink.headers});
  t.deepEqual(second.sink.headers['set-cookie'], ['a=1', 'b=2']);
  t.is(fixture.server.countRequests(), 1);
  await fixture.stop();
});

test('an idempotency key used for another request is refused, unless the ring key differs', async t => {
  const fixture = new OwnerFixture(answerAlways);
  await fixture.start();
  await fixture.send();
  const bytes = Buffer.from('[]{}');
  const otherBody = await fixture.send({body: {kind: 'buffered', bytes}});
  const otherPath = await fixture.send({
    target: {service: SERVICE, key: 'pot-1', path: '/refund'},
  });
  const otherKey = await fixture.send({
    target: {service: SERVICE, key: 'pot-2', path: '/pay'},
  });
  t.deepEqual([otherBody, otherPath, otherKey].map(format), [
    'not-run DD3029',
    'not-run DD3029',
    '201 whole paid',
  ]);
  await fixture.stop();
});

test('a kind that callers on other hosts never send requests its slot as nested', async t => {
  const fixture = new OwnerFixture(socket => socket.write(ANSWER));
  const hosts = new Map([
    [SERVICE, 3],
    ['other', 3],
  ]);
  await fixture.start(4, () => hosts);
  const nestedFlags: Array<boolean | undefined> = [];
  fixture.onSlotRequest = ({isNested}) => nestedFlags.push(isNested);
  const routed = createRouted('other');
  for (let request = 0; request < 60; request++)
    await fixture.send({routed, idempotencyKey: undefined});
  t.false(nestedFlags[0]);
  t.true(nestedFlags[59]);
  await fixture.stop();
});

test('a duplicate of a running request waits for its response', async t => {
  let answerFirst = () => {};
  const fixture = new OwnerFixture(socket => {
    answerFirst = () => socket.write(ANSWER);
  });
  await fixture.start();
  const first = fixture.send();
  await fixture.waitForRequests(1);
  const leaving = new AbandonmentSignal();
  const repeats = [
    fixture.send(),
    fixture.send({abandonment: leaving}),
    fixture.send({deadlineAtMs: fixture.system.getNow().monotonicMs + 1}),
  ];
  leaving.recordDisconnect();
  fixture.system.shift(1);
  answerFirst();
  t.is(format(await first), '201 whole paid');
  const sent = await Promise.all(repeats);
  t.deepEqual(sent.map(format), [
    '201 whole paid',
    'unknown DD3020',
    'unknown DD3020',
  ]);
  t.is(fixture.server.countRequests(), 1);
  t.is(fixture.system.countTimers(), 0);
  await fixture.stop();
});

test('a duplicate runs when the request that it waits for was refused', async t => {
  let requests = 0;
  let refuseFirst = () => {};
  const fixture = new OwnerFixture(socket => {
    requests += 1;
    const refusal =
      'HTTP/1.1 503 X\r\ndottereldrift-refused: not-run\r\ncontent-length: 0\r\n\r\n';
    if (requests === 1) refuseFirst = () => socket.write(refusal);
    else socket.write(ANSWER);
  });
  await fixture.start();
  const first = fixture.send();
  await fixture.waitForRequests(1);
  const repeat = fixture.send();
  refuseFirst();
  t.is(format(await first), 'not-run DD3010');
  t.is(format(await repeat), '201 whole paid');
  await fixture.stop();
});

test('requests that never finish stay unknown, and a full window refuses new ones', async t => {
  const fixture = new OwnerFixture(() => {});
  await fixture.start();
  const running = ['a', 'b', 'c'].map(idempotencyKey =>
    fixture.send({idempotencyKey}),
  );
  await fixture.waitForRequests(3);
  t.is(format(await fixture.send({idempotencyKey: 'd'})), 'not-run DD3019');
  fixture.system.shift(DEADLINE_MS);
  for (const sent of await Promise.all(running))
    t.is(format(sent), 'unknown DD3007');
  t.is(format(await fixture.send({idempotencyKey: 'a'})), 'unknown DD3018');
  t.is(fixture.server.countRequests(), 3);
  await fixture.stop();
});

test('a request may run again after a refusal, but not after a truncated response', async t => {
  let requests = 0;
  const fixture = new OwnerFixture(socket => {
    requests += 1;
    if (requests === 1) {
      socket.end(
        'HTTP/1.1 503 X\r\ndottereldrift-refused: not-run\r\ncontent-length: 0\r\n\r\n',
      );
    } else {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf');
    }
  });
  await fixture.start();
  t.is(format(await fixture.send()), 'not-run DD3010');
  t.is(format(await fixture.send()), '200 cut half');
  t.is(format(await fixture.send()), 'unknown DD3027');
  t.is(requests, 2);
  await fixture.stop();
});

test('a request whose response is too large to keep does not run again', async t => {
  const fixture = new OwnerFixture((socket, text) => {
    if (text.endsWith('{}'))
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n${'x'.repeat(101)}`,
      );
  });
  await fixture.start();
  await fixture.send();
  t.is(format(await fixture.send()), 'unknown DD3027');
  t.is(fixture.server.countRequests(), 1);
  await fixture.stop();
});

test('after a takeover only certainly new requests run', async t => {
  const fixture = new OwnerFixture(answerAlways);
  await fixture.start();
  fixture.applySlice({recordsSince: 2, token: 2});
  const tookOverAtMs = fixture.system.getNow().wallMs;
  fixture.system.shift(10_000);
  const sent = [
    await fixture.send({idempotencyKey: 'a'}),
    await fixture.send({idempotencyKey: 'a', firstGeneration: 1}),
    await fixture.send({idempotencyKey: 'a', firstSentWallMs: tookOverAtMs}),
    await fixture.send({idempotencyKey: 'a', firstGeneration: 2}),
    await fixture.send({idempotencyKey: 'a'}),
    await fixture.send({
      idempotencyKey: 'b',
      firstSentWallMs: tookOverAtMs + 9_000,
    }),
  ];
  t.deepEqual(sent.map(format), [
    'unknown DD3018',
    'unknown DD3018',
    'unknown DD3018',
    '201 whole paid',
    '201 whole paid',
    '201 whole paid',
  ]);
  fixture.applySlice({recordsSince: 2, token: 3});
  fixture.system.shift(RETENTION_MS - 10_000);
  t.is(format(await fixture.send({idempotencyKey: 'c'})), '201 whole paid');
  t.is(fixture.server.countRequests(), 3);
  await fixture.stop();
});

test('the new owner uses records that a planned move handed over', async t => {
  const from = new OwnerFixture(answerAlways);
  const to = new OwnerFixture(answerAlways);
  await from.start();
  await to.start();
  await from.send();
  const entries = from.owner.getIdempotencyEntries(SERVICE, [
    {start: 0, token: 1},
  ]);
  t.true(to.owner.tryAbsorbIdempotencyEntries(SERVICE, entries));
  t.is(format(await to.send()), '201 whole paid');
  t.is(to.server.countRequests(), 0);
  await from.stop();
  await to.stop();
});

for (const [name, change, expected] of [
  [
    'the lease expires',
    (fixture: OwnerFixture) => {
      fixture.isHeld = false;
    },
    'not-run DD3016',
  ],
  [
    'the daemon rejoins',
    (fixture: OwnerFixture) => {
      fixture.member = {host: 'a', incarnation: '2'};
      fixture.owner.resetMember();
      fixture.applySlice({});
    },
    'not-run DD3016',
  ],
  [
    'the slice moves to another owner',
    (fixture: OwnerFixture) => {
      fixture.applySlice({owner: {host: 'b', incarnation: '1'}});
    },
    'not-run DD3017',
  ],
] as const) {
  test(`a queued request is not sent when ${name}`, async t => {
    let answerFirst = () => {};
    const fixture = new OwnerFixture(socket => {
      answerFirst = () => socket.write(ANSWER);
    });
    await fixture.start(1);
    const first = fixture.send({idempotencyKey: 'a'});
    await fixture.waitForRequests(1);
    const second = fixture.send({idempotencyKey: 'b'});
    change(fixture);
    answerFirst();
    t.is(format(await first), '201 whole paid');
    t.is(format(await second), expected);
    t.is(fixture.server.countRequests(), 1);
    await fixture.stop();
  });
}

test('the server receives the remaining time, the slice, its token and the end of the lease', async t => {
  const fixture = new OwnerFixture(answerAlways);
  await fixture.start();
  await fixture.send();
  const lines = (fixture.server.received[0] ?? '').split('\r\n');
  t.deepEqual(lines.filter(line => line.startsWith('dottereldrift-')).sort(), [
    'dottereldrift-lease-end-monotonic-ms: 5000',
    'dottereldrift-lease-end-unix-ms: 1700000005000',
    'dottereldrift-remaining-ms: 1000',
    'dottereldrift-slice: 0',
    'dottereldrift-token: 1',
  ]);
  await fixture.stop();
});

test('a caller that disconnects frees the slot, and the server sees the connection close', async t => {
  const closed: string[] = [];
  const fixture = new OwnerFixture((socket, text) => {
    if (!text.endsWith('{}')) return;
    if (fixture.server.sockets.length === 1)
      socket.once('close', () => closed.push('closed'));
    else socket.write(ANSWER);
  });
  await fixture.start(1);
  const abandonment = new AbandonmentSignal();
  const first = fixture.send({idempotencyKey: 'a', abandonment});
  await fixture.waitForRequests(1);
  const second = fixture.send({idempotencyKey: 'b'});
  abandonment.recordDisconnect();
  t.is(format(await first), 'unknown DD3022');
  t.is(format(await second), '201 whole paid');
  while (closed.length === 0)
    await new Promise(resolve => setImmediate(resolve));
  t.is(format(await fixture.send({idempotencyKey: 'a'})), 'unknown DD3018');
  await fixture.stop();
});

test('a request that cannot be encoded as HTTP is not run and frees the slot', async t => {
  const fixture = new OwnerFixture(answerAlways);
  await fixture.start(1);
  const broken = {'bad header name': 'x'};
  const sent = await fixture.send({idempotencyKey: 'a', headers: broken});
  t.is(format(sent), 'not-run DD3008');
  t.is(format(await fixture.send({idempotencyKey: 'b'})), '201 whole paid');
  await fixture.stop();
});

test('a slice that was taken over is not released while the longest run time is unknown', async t => {
  const fixture = new OwnerFixture(answerAlways);
  await fixture.start();
  const release = (token: number) =>
    fixture.owner.releaseSlices(SERVICE, fixture.member, [{start: 0, token}]);
  fixture.applySlice({recordsSince: 2, token: 2});
  t.deepEqual(release(2), []);
  fixture.applySlice({recordsSince: 0, token: 3});
  t.is(release(3).length, 1, 'a slice that was moved as planned is released');
  await fixture.stop();
});

// Guards against requests that hold a slot for a response that a busy link delivers too late.
test('a request whose response the link cannot send in time does not run', async t => {
  const body = 'x'.repeat(20_000);
  const head = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`;
  const fixture = new OwnerFixture((socket, text) => {
    if (text.endsWith('{}')) socket.write(`${head}${body}`);
  });
  let queuedBytes = 0;
  const egress = new EgressAdmission({
    getQueuedBytes: () => queuedBytes,
    computeSendMs: bytes => bytes / 100,
  });
  await fixture.start(4, undefined, egress);
  const send = () => fixture.send({idempotencyKey: undefined});
  const results = [await send()];
  queuedBytes = DEADLINE_MS * 100;
  results.push(await send());
  queuedBytes = 0;
  results.push(await send());
  const states = results.map(({result}) =>
    result.kind === 'answered'
      ? result.status
      : `${result.failure.outcome} ${result.failure.code}`,
  );
  t.deepEqual(states, [200, 'not-run DD3035', 200]);
  t.is(fixture.server.countRequests(), 2);
  await fixture.stop();
});
