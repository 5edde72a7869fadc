/**
 * Tests of what a daemon that starts again knows of the run before it, and of its lease when clocks are faulty.
 */
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {createLog} from '@dottereldrift/core/log.js';
import {
  encodeSession,
  getSessionKey,
} from '@dottereldrift/membership/session_record.js';
import {
  encodeAssignment,
  getAssignmentKey,
} from '@dottereldrift/ownership/assignment_record.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';

import {SessionKeeper} from '../src/session_keeper.js';
import {StoreView} from '../src/store_view.js';
import {StoreWatcher} from '../src/store_watcher.js';
import {ManualSystem} from './fakes.js';

const LOG = createLog('test', 'hidden', 'error');
const SERVICE = 'menu';
const EARLIER = {host: 'h1', incarnation: 'a'};
const LOCATION = {
  dataCentre: 'dc1',
  region: 'r1',
  peerAddress: {ip: '127.0.0.1', port: 1},
  callerPort: 2,
};
const STEP_MS = 50;
const IDENTITY = {...LOCATION, host: EARLIER.host};

function runPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

class Bench {
  readonly system = new ManualSystem();
  readonly store = new MemoryStore(this.system);
  readonly view = new StoreView(this.system, LOG);
  readonly watcher = new StoreWatcher(this.store, this.view, LOG);
  /** Sequences of the heartbeats that were sent. */
  readonly sent: number[] = [];
  readonly keeper = new SessionKeeper(
    IDENTITY,
    this.system,
    this.store,
    this.view,
    {
      open: () => Promise.resolve(),
      sendHeartbeat: (_address, {sequence}) => {
        this.sent.push(sequence);
      },
      sendAnswer: () => {},
      close: () => {},
    },
    {tryEnd: () => Promise.resolve(false)},
    LOG,
  );

  /** Starts the daemon as its own witness, and answers its heartbeats so far. */
  async startWithLease(): Promise<void> {
    await this.watcher.tryRefreshView(0);
    void this.keeper.run();
    await runPromises();
    this.answerLast();
  }

  /** Answers the last heartbeat. */
  answerLast(): void {
    this.answer(this.sent.at(-1) ?? 0);
  }

  answer(sequence: number): void {
    const member = this.keeper.getMember();
    this.keeper.receiveAnswer(member, member, sequence, false);
  }

  /** Moves the clocks while no timer fires: a suspension, a step, or both. */
  moveClocks(monotonicMs: number, wallMs: number): void {
    const {now} = this.system;
    this.system.now = {
      monotonicMs: now.monotonicMs + monotonicMs,
      wallMs: now.wallMs + wallMs,
    };
  }

  async writeEarlierSession(isEnded = false, version = 0): Promise<number> {
    const value = encodeSession({
      ...LOCATION,
      member: EARLIER,
      witnesses: [EARLIER],
      servers: [],
      isEnded,
      isLeaving: false,
    });
    const key = getSessionKey(EARLIER.host);
    const written = await this.store.updateObject(key, version, value)();
    if (E.isLeft(written)) throw new Error(written.left.text);
    return written.right;
  }

  /** Writes the sessions of hosts that may be witnesses. */
  async writeOthers(hosts: readonly string[]): Promise<void> {
    for (const [index, host] of hosts.entries()) {
      const member = {host, incarnation: '1'};
      const value = encodeSession({
        ...LOCATION,
        peerAddress: {ip: '127.0.0.1', port: 10 + index},
        member,
        witnesses: [member],
        servers: [],
        isEnded: false,
        isLeaving: false,
      });
      await this.store.updateObject(getSessionKey(host), 0, value)();
    }
  }

  /** Lets time pass in steps in which promises settle. */
  async waitFor(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await runPromises();
      this.system.shift(STEP_MS);
    }
    await runPromises();
  }

  /** Writes an assignment; returns its version. */
  async writeAssignment(generation: number, version: number): Promise<number> {
    const slices = createSlices(1).map(slice => ({
      ...slice,
      owner: EARLIER,
      token: generation,
    }));
    const assignment = {service: SERVICE, generation, slices, writer: EARLIER};
    const key = getAssignmentKey(SERVICE);
    const value = encodeAssignment(assignment);
    const written = await this.store.updateObject(key, version, value)();
    if (E.isLeft(written)) throw new Error(written.left.text);
    return written.right;
  }
}

test('a daemon has joined when it knows the assignments that the run before it could grant from', async t => {
  const bench = new Bench();
  await bench.writeEarlierSession();
  const version = await bench.writeAssignment(1, 0);
  await bench.watcher.tryRefreshView(0);
  await bench.writeAssignment(2, version);
  void bench.keeper.run();
  await runPromises();
  t.deepEqual(bench.keeper.getSession()?.follows, [EARLIER.incarnation]);
  t.false(bench.keeper.isJoined());
  await bench.watcher.tryRefreshView(0);
  t.is(bench.view.getAssignment(SERVICE)?.assignment.generation, 2);
  t.true(bench.keeper.isJoined());
  await bench.keeper.stop(true);
});

/** What the clocks count while a host is suspended for 2.3 s and its wall clock is set back by 2 s. */
const LEFT_OVER_MS = 300;

test('a lease is not held after clocks that differ have missed its end, until a later heartbeat is answered', async t => {
  const bench = new Bench();
  await bench.startWithLease();
  t.true(bench.keeper.isHeld());
  const sentBefore = [...bench.sent];
  bench.moveClocks(0, LEFT_OVER_MS);
  t.is(bench.keeper.getEnd().monotonicMs, -Infinity);
  t.false(bench.keeper.isHeld());
  t.is(bench.sent.length, sentBefore.length + 1);
  bench.answer(sentBefore.at(-1) ?? 0);
  t.false(bench.keeper.isHeld());
  bench.answerLast();
  t.true(bench.keeper.isHeld());
  await bench.keeper.stop(true);
});

test('a renewal after clocks that differed is told at once', async t => {
  const bench = new Bench();
  await bench.startWithLease();
  let renewals = 0;
  bench.keeper.addRenewalListener(() => (renewals += 1));
  bench.moveClocks(0, LEFT_OVER_MS);
  t.false(bench.keeper.isHeld());
  bench.answerLast();
  t.is(renewals, 1);
  await bench.keeper.stop(true);
});

test('a lease whose clocks differed is not held again by its old answers when they agree again', async t => {
  const bench = new Bench();
  await bench.startWithLease();
  bench.moveClocks(0, -LEFT_OVER_MS);
  t.false(bench.keeper.isHeld());
  bench.moveClocks(0, LEFT_OVER_MS);
  t.false(bench.keeper.isHeld());
  await bench.keeper.stop(true);
});

test('a heartbeat under way while the clocks differed renews nothing when they agree again', async t => {
  const bench = new Bench();
  await bench.watcher.tryRefreshView(0);
  void bench.keeper.run();
  await runPromises();
  const sequence = bench.sent.at(-1) ?? 0;
  bench.moveClocks(0, -LEFT_OVER_MS);
  t.false(bench.keeper.isHeld());
  bench.moveClocks(0, LEFT_OVER_MS);
  bench.answer(sequence);
  t.false(bench.keeper.isHeld());
  await bench.keeper.stop(true);
});

test('clocks that keep differing bring about no more heartbeats than one round in a while', async t => {
  const bench = new Bench();
  await bench.startWithLease();
  const sentBefore = bench.sent.length;
  for (let step = 0; step < 50; step++) {
    bench.moveClocks(1, LEFT_OVER_MS);
    t.false(bench.keeper.isHeld());
    bench.answerLast();
  }
  t.is(bench.sent.length, sentBefore + 1);
  await bench.keeper.stop(true);
});

test('a process that stood still between the reading of its two clocks keeps its lease', async t => {
  const bench = new Bench();
  await bench.startWithLease();
  const {now} = bench.system;
  const readings = [{...now, wallMs: now.wallMs + LEFT_OVER_MS}];
  bench.system.getNow = () => readings.shift() ?? now;
  const sentBefore = bench.sent.length;
  t.true(bench.keeper.isHeld());
  t.is(readings.length, 0);
  t.is(bench.sent.length, sentBefore);
  await bench.keeper.stop(true);
});

test('a run whose session is in force when the next one replaces it may have granted keys, one that was ended meanwhile may not', async t => {
  const live = new Bench();
  await live.writeEarlierSession();
  await live.watcher.tryRefreshView(0);
  void live.keeper.run();
  await runPromises();
  t.true(live.keeper.hasFollowed());
  await live.keeper.stop(true);

  const ended = new Bench();
  const version = await ended.writeEarlierSession();
  await ended.watcher.tryRefreshView(0);
  await ended.writeEarlierSession(true, version);
  void ended.keeper.run();
  for (let count = 0; count < 10; count++) {
    await runPromises();
    ended.system.shift(100);
  }
  t.not(ended.keeper.getSession(), undefined);
  t.false(ended.keeper.hasFollowed(), 'its grants ended before its session');
  await ended.keeper.stop(true);
});

test('a witness that has fenced a member, which it never renews again, is replaced by another', async t => {
  const bench = new Bench();
  await bench.writeOthers(['h2', 'h3', 'h4', 'h5']);
  await bench.watcher.tryRefreshView(0);
  void bench.keeper.run();
  await bench.waitFor(3_000);
  const [fencing] = bench.keeper.getSession()?.witnesses ?? [];
  if (fencing === undefined) return t.fail('there is no witness');
  for (let sequence = 1; sequence < 10; sequence++)
    bench.keeper.receiveAnswer(
      bench.keeper.getMember(),
      fencing,
      sequence,
      true,
    );
  await bench.waitFor(3_000);
  const witnesses = bench.keeper.getSession()?.witnesses ?? [];
  t.is(witnesses.length, 3);
  t.false(witnesses.some(({host}) => host === fencing.host));
  await bench.keeper.stop(true);
});

test('a witness that has fenced a member stays where too few others are left', async t => {
  const bench = new Bench();
  await bench.writeOthers(['h2', 'h3', 'h4']);
  await bench.watcher.tryRefreshView(0);
  void bench.keeper.run();
  await bench.waitFor(3_000);
  const [fencing] = bench.keeper.getSession()?.witnesses ?? [];
  if (fencing === undefined) return t.fail('there is no witness');
  bench.keeper.receiveAnswer(bench.keeper.getMember(), fencing, 1, true);
  await bench.waitFor(3_000);
  t.is(bench.keeper.getSession()?.witnesses.length, 3);
  await bench.keeper.stop(true);
});

test('a heartbeat under way renews nothing after clocks that differed twice within a moment', async t => {
  const bench = new Bench();
  await bench.startWithLease();
  bench.system.shift(490);
  bench.answerLast();
  bench.moveClocks(0, LEFT_OVER_MS);
  t.false(bench.keeper.isHeld());
  bench.answerLast();
  t.true(bench.keeper.isHeld());
  bench.moveClocks(0, 15);
  const sentBefore = bench.sent.length;
  bench.system.shift(10);
  t.is(bench.sent.length, sentBefore + 1, 'the next heartbeat is under way');
  bench.moveClocks(0, 10);
  t.false(bench.keeper.isHeld());
  bench.moveClocks(0, LEFT_OVER_MS);
  t.false(bench.keeper.isHeld());
  bench.moveClocks(0, -LEFT_OVER_MS);
  bench.answer(bench.sent[sentBefore] ?? 0);
  t.false(bench.keeper.isHeld());
  await bench.keeper.stop(true);
});
