/**
 * Tests of the entry's retry loop with a manual clock: the outcome reported after several attempts, and the
 * extra load caused by refusals and failures.
 */
import {PassThrough} from 'node:stream';

import test from 'ava';

import type {RequestKind} from '@dottereldrift/manifest/types.js';
import type {Session} from '@dottereldrift/membership/types.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';
import type {AttemptFailure} from '@dottereldrift/routing/types.js';

import {AbandonmentSignal} from '../src/abandonment_signal.js';
import type {CallerProtocol} from '../src/caller_protocol.js';
import {Entry} from '../src/entry.js';
import type {AttemptResult, Exchange} from '../src/exchange.js';
import {Upload} from '../src/upload.js';
import {ManualSystem, RecordingSink} from './fakes.js';

const SERVICE = 'menu';
const DEADLINE_MS = 1_000;
const STEP_MS = 5;
const MAX_EXTRA_SHARE = 0.1;
const SAVED_REFUSALS = 100;
const KIND: RequestKind = {
  name: 'any',
  match: {},
  idempotent: true,
  deadlineMs: DEADLINE_MS,
  maxAttempts: 3,
  priority: 5,
  expectedServiceMs: 10,
  objective: 0.99,
};
const ANSWERED: AttemptResult = {
  kind: 'answered',
  status: 200,
  isTruncated: false,
};

function createFailed(
  outcome: AttemptFailure['outcome'],
  code: AttemptFailure['code'],
  ownerGeneration = 0,
): AttemptResult {
  const failure = {outcome, code, text: '', retryAfterMs: 0, ownerGeneration};
  return {kind: 'failed', failure};
}

function createSession(
  host: string,
  servers: Session['servers'] = [],
): Session {
  return {
    member: {host, incarnation: '1'},
    peerAddress: {ip: '127.0.0.1', port: 1},
    isEnded: false,
    isLeaving: false,
    servers,
  } as unknown as Session;
}

class Bench {
  readonly system = new ManualSystem();
  readonly sentTo: string[] = [];
  generation = 1;
  ownerHost = 'b';
  liveHosts = ['b', 'c'];
  servers: Session['servers'] = [];
  readonly rules: Exchange['rules'] = {
    division: 'byKey',
    fencing: 'checked',
    maxRunMs: 1_000,
    slicesPerServer: 1,
    maxQueued: 10,
    kinds: [KIND],
  };
  /** Returns the result of an attempt, given its number. */
  answer: (attempt: number) => AttemptResult = () => ANSWERED;
  readonly entry = new Entry(
    this.system,
    {
      getAssignment: () => ({assignment: this.createAssignment(), version: 1}),
      getSession: host => ({session: createSession(host), version: 1}),
      getLiveSessions: () =>
        this.liveHosts.map(host => createSession(host, this.servers)),
      isDraining: () => false,
      refreshAssignment: () => Promise.resolve(),
    },
    {handle: () => Promise.resolve(this.recordAttempt('local'))},
    {
      forward: candidate =>
        Promise.resolve(this.recordAttempt(candidate.member.host)),
    },
    'a',
  );

  async send(change: Partial<Exchange> = {}): Promise<string> {
    const result = await this.entry.handle(this.createExchange(change));
    return result.kind === 'answered'
      ? String(result.status)
      : `${result.failure.outcome} ${result.failure.code}`;
  }

  handle(change: Partial<Exchange>): Promise<AttemptResult> {
    return this.entry.handle(this.createExchange(change));
  }

  /** Advances the clock until a promise has settled. */
  async settle<T>(promise: Promise<T>): Promise<T> {
    let isOver = false;
    void promise.finally(() => {
      isOver = true;
    });
    for (;;) {
      await new Promise(resolve => setImmediate(resolve));
      if (isOver) return promise;
      this.system.shift(STEP_MS);
    }
  }

  private recordAttempt(host: string): AttemptResult {
    return this.answer(this.sentTo.push(host));
  }

  private createAssignment(): Assignment {
    const owner = {host: this.ownerHost, incarnation: '1'};
    const slice = {
      start: 0,
      owner,
      token: 1,
      nextOwner: undefined,
      recordsSince: 0,
    };
    const {generation} = this;
    return {service: SERVICE, generation, slices: [slice], writer: owner};
  }

  private createExchange(change: Partial<Exchange>): Exchange {
    const now = this.system.getNow();
    return {
      method: 'GET',
      target: {service: SERVICE, key: 'floor-1', path: '/'},
      rules: this.rules,
      kind: KIND,
      headers: {},
      body: {kind: 'none'},
      receivedAt: now,
      deadlineAtMs: now.monotonicMs + DEADLINE_MS,
      caller: '',
      idempotencyKey: undefined,
      firstGeneration: undefined,
      firstSentWallMs: undefined,
      answer: new RecordingSink(),
      abandonment: new AbandonmentSignal(),
      ...change,
    };
  }
}

test('a refusal after an attempt that may have run is reported as unknown', async t => {
  const bench = new Bench();
  bench.answer = attempt =>
    attempt === 1
      ? createFailed('unknown', 'DD3009')
      : createFailed('not-run', 'DD3011');
  t.is(await bench.settle(bench.send()), 'unknown DD3011');
  t.is(bench.sentTo.length, 2);
});

test('a request that is not idempotent is resent after a refusal, but not after it may have run', async t => {
  const kind = {...KIND, idempotent: false};
  const bench = new Bench();
  bench.answer = () => createFailed('unknown', 'DD3009');
  t.is(await bench.settle(bench.send({kind})), 'unknown DD3009');
  t.is(bench.sentTo.length, 1);
  bench.answer = attempt =>
    attempt === 2 ? createFailed('not-run', 'DD3016') : ANSWERED;
  t.is(await bench.settle(bench.send({kind})), '200');
  t.is(bench.sentTo.length, 3);
});

test('a streamed body is resent only while none of it has been read', async t => {
  const bench = new Bench();
  const upload = new Upload(new PassThrough(), 100);
  const body = {kind: 'stream', upload} as const;
  bench.answer = attempt => {
    if (attempt === 2) upload.createStream().read(0);
    return createFailed('not-run', 'DD3005');
  };
  t.is(await bench.settle(bench.send({body})), 'not-run DD3005');
  t.is(bench.sentTo.length, 2);
});

test('nothing is sent while the owner has a later generation; a new owner is tried immediately', async t => {
  const bench = new Bench();
  bench.answer = attempt =>
    attempt === 1 ? createFailed('not-run', 'DD3017', 5) : ANSWERED;
  const sent = bench.send();
  await new Promise(resolve => setImmediate(resolve));
  for (let step = 0; step < 20; step++) {
    bench.system.shift(STEP_MS);
    await new Promise(resolve => setImmediate(resolve));
  }
  t.deepEqual(bench.sentTo, ['b']);
  bench.generation = 5;
  bench.ownerHost = 'c';
  t.is(await bench.settle(sent), '200');
  t.deepEqual(bench.sentTo, ['b', 'c']);
});

test('a request waits for a route until its deadline', async t => {
  const bench = new Bench();
  bench.ownerHost = 'a';
  bench.answer = () => createFailed('not-run', 'DD3016');
  t.is(await bench.settle(bench.send()), 'not-run DD3016');
  t.true(bench.sentTo.every(host => host === 'local'));
});

for (const [name, result] of [
  ['refused', createFailed('not-run', 'DD3005')],
  ['unknown', createFailed('unknown', 'DD3009')],
] as const) {
  test(`the extra load stays below 10% when everything is ${name}`, async t => {
    const bench = new Bench();
    bench.answer = () => result;
    const requests = 4_000;
    const sent: Array<Promise<string>> = [];
    for (let number = 0; number < requests; number++) {
      sent.push(bench.send());
      if (number % 20 === 0) {
        bench.system.shift(STEP_MS);
        await new Promise(resolve => setImmediate(resolve));
      }
    }
    await bench.settle(Promise.all(sent));
    const extra = bench.sentTo.length - requests - SAVED_REFUSALS;
    t.true(extra / requests < MAX_EXTRA_SHARE);
    t.is(bench.system.countTimers(), 0);
  });
}

function createRefused(
  code: AttemptFailure['code'],
  retryAfterMs: number,
): AttemptResult {
  const failure: AttemptFailure = {
    outcome: 'not-run',
    code,
    text: '',
    retryAfterMs,
  };
  return {kind: 'failed', failure};
}

const ROUTED = {
  protocol: {} as CallerProtocol,
  authority: 'shop.example',
  requestId: 'a',
  origin: SERVICE,
  goalMs: 200,
};

test('a routed request refused for load gets a retry delay of a quarter of its goal, or a longer one from its owner', async t => {
  for (const code of ['DD3011', 'DD3012', 'DD3025'] as const) {
    const getRetryAfterMs = async (ownerMs: number) => {
      const bench = new Bench();
      bench.answer = () => createRefused(code, ownerMs);
      const result = await bench.settle(bench.handle({routed: ROUTED}));
      return result.kind === 'failed' ? result.failure.retryAfterMs : 0;
    };
    t.is(await getRetryAfterMs(20), 50);
    t.is(await getRetryAfterMs(120), 120);
  }
});

test('a routed request waits for a moving key up to its goal, then gets a retry delay', async t => {
  const bench = new Bench();
  const startMs = bench.system.getNow().monotonicMs;
  bench.answer = () => createRefused('DD3005', 20);
  const result = await bench.settle(bench.handle({routed: ROUTED}));
  const waitedMs = bench.system.getNow().monotonicMs - startMs;
  t.true(waitedMs >= 150 && waitedMs <= 400, `${waitedMs}`);
  t.is(result.kind === 'failed' ? result.failure.retryAfterMs : 0, 250);
});

test('offers to an owner that refuses for load are throttled until it accepts requests again', async t => {
  const bench = new Bench();
  const requests = 200;
  const sendAll = async () => {
    const sentBefore = bench.sentTo.length;
    for (let number = 0; number < requests; number++) {
      await bench.settle(bench.handle({routed: ROUTED}));
      bench.system.shift(STEP_MS);
    }
    return bench.sentTo.length - sentBefore;
  };
  bench.answer = () => createRefused('DD3011', 20);
  const offered = await sendAll();
  t.true(offered > 0 && offered < requests / 4, `${offered}`);
  const refused = await bench.settle(bench.handle({routed: ROUTED}));
  t.like(refused, {
    kind: 'failed',
    failure: {outcome: 'not-run', code: 'DD3011', retryAfterMs: 50},
  });
  bench.system.shift(3_000);
  bench.answer = () => ANSWERED;
  t.is(await sendAll(), requests);
  bench.answer = () => createRefused('DD3012', 20);
  bench.ownerHost = 'a';
  t.is(await sendAll(), requests, 'offers to this host are not throttled');
});

test('a request that any host may run is offered to each host at most once, also while a failing host is ejected', async t => {
  const bench = new Bench();
  bench.liveHosts = ['a', 'b', 'c'];
  bench.servers = [
    {service: SERVICE, slots: 6},
  ] as unknown as Session['servers'];
  const rules = {...bench.rules, division: 'none'} as Exchange['rules'];
  const change = {
    routed: ROUTED,
    rules,
    target: {service: SERVICE, key: undefined, path: '/'},
  };
  bench.answer = () =>
    bench.sentTo.at(-1) === 'c'
      ? createFailed('not-run', 'DD3008')
      : createRefused('DD3011', 20);
  for (let number = 0; number < 20; number++) {
    bench.sentTo.length = 0;
    const result = await bench.settle(bench.handle(change));
    t.is(result.kind, 'failed');
    const offers = bench.sentTo.length;
    t.true(offers <= 3, `${number}: ${offers} offers`);
    if (offers > 100) return;
  }
});

// Guards against requests that are refused by host after host and take the processor time of those that run.
test('a request that any host may run is offered to at most four hosts without capacity', async t => {
  const bench = new Bench();
  bench.liveHosts = Array.from({length: 22}, (_, index) => `h-${index}`);
  bench.servers = [
    {service: SERVICE, slots: 4},
  ] as unknown as Session['servers'];
  const rules = {...bench.rules, division: 'none'} as Exchange['rules'];
  const target = {service: SERVICE, key: undefined, path: '/'};
  const offers = async (code: 'DD3011' | 'DD3008') => {
    bench.answer = () => createFailed('not-run', code);
    bench.sentTo.length = 0;
    await bench.settle(bench.handle({routed: ROUTED, rules, target}));
    return {count: bench.sentTo.length, hosts: new Set(bench.sentTo).size};
  };
  t.deepEqual(await offers('DD3011'), {count: 4, hosts: 4});
  const {hosts} = await offers('DD3008');
  t.is(hosts, 22, 'hosts that cannot be reached do not count');
});

// Guards against requests that are sent to a daemon as it closes its listener, and reset there.
test('a daemon that announced its stop is sent no request until its host has a new session', async t => {
  const bench = new Bench();
  bench.liveHosts = ['b', 'c'];
  bench.servers = [
    {service: SERVICE, slots: 6},
  ] as unknown as Session['servers'];
  const rules = {...bench.rules, division: 'none'} as Exchange['rules'];
  const target = {service: SERVICE, key: undefined, path: '/'};
  const sendToAnyHost = () =>
    bench.settle(bench.handle({routed: ROUTED, rules, target}));
  bench.entry.receiveStopNotice({host: 'b', incarnation: '0'});
  t.is(await bench.settle(bench.send()), '200', 'an earlier incarnation');
  bench.entry.receiveStopNotice({host: 'b', incarnation: '1'});
  bench.sentTo.length = 0;
  t.like(await bench.settle(bench.handle({routed: ROUTED})), {
    kind: 'failed',
    failure: {outcome: 'not-run', code: 'DD3004', retryAfterMs: 250},
  });
  for (let number = 0; number < 20; number++)
    t.is((await sendToAnyHost()).kind, 'answered');
  t.deepEqual([...new Set(bench.sentTo)], ['c']);
  bench.system.shift(30_000);
  t.is(await bench.settle(bench.send()), '200', 'the stop was not completed');
});
