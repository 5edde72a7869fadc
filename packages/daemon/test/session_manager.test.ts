/**
 * Tests of what a restarted daemon learns about its previous process, of its lease when the clocks of its host
 * diverge, and of its session when the store was restored from a backup.
 */
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {createLog} from '@dottereldrift/core/log.js';
import {
  encodeSession,
  getSessionKey,
  parseSession,
} from '@dottereldrift/membership/session_record.js';
import {
  encodeAssignment,
  getAssignmentKey,
} from '@dottereldrift/ownership/assignment_record.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';
import type {ObjectStore} from '@dottereldrift/store/types.js';
import {getEra} from '@dottereldrift/store/version.js';

import {SessionManager} from '../src/session_manager.js';
import {StoreView} from '../src/store_view.js';
import {StoreWatcher} from '../src/store_watcher.js';
import {ManualSystem} from './fakes.js';
import {type Backup, RestorableStore} from './restorable_store.js';

const LOG = createLog('test', 'hidden', 'error');
const SERVICE = 'menu';
const PREVIOUS = {host: 'h1', incarnation: 'a'};
const LOCATION = {
  dataCentre: 'dc1',
  region: 'r1',
  peerAddress: {ip: '127.0.0.1', port: 1},
  callerPort: 2,
};
const STEP_MS = 50;
const IDENTITY = {...LOCATION, host: PREVIOUS.host};

function runPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

class Bench<S extends ObjectStore = MemoryStore> {
  readonly view: StoreView;
  readonly watcher: StoreWatcher;
  /** Sequence numbers of the heartbeats that were sent. */
  readonly sent: number[] = [];
  readonly manager: SessionManager;

  constructor(
    readonly store: S,
    readonly system: ManualSystem,
  ) {
    this.view = new StoreView(system, LOG);
    this.watcher = new StoreWatcher(system, store, this.view, LOG);
    this.manager = new SessionManager(
      IDENTITY,
      system,
      store,
      this.view,
      {
        open: () => Promise.resolve(),
        sendHeartbeat: (_address, {sequence}) => {
          this.sent.push(sequence);
        },
        sendAnswer: () => {},
        sendStopNotice: () => {},
        close: () => {},
      },
      {tryEnd: () => Promise.resolve(false)},
      LOG,
    );
  }

  /** Starts the daemon as its own witness and answers its last heartbeat. */
  async startWithLease(): Promise<void> {
    await this.watcher.tryRefreshView(0);
    void this.manager.run();
    await runPromises();
    this.answerLast();
  }

  /** Answers the last heartbeat. */
  answerLast(): void {
    this.answer(this.sent.at(-1) ?? 0);
  }

  answer(sequence: number): void {
    const member = this.manager.getMember();
    this.manager.receiveAnswer(member, member, sequence, false);
  }

  /** Moves the clocks without firing timers, as in a suspension of the host, a clock step, or both. */
  moveClocks(monotonicMs: number, wallMs: number): void {
    const {now} = this.system;
    this.system.now = {
      monotonicMs: now.monotonicMs + monotonicMs,
      wallMs: now.wallMs + wallMs,
    };
  }

  async writePreviousSession(isEnded = false, version = 0): Promise<number> {
    const value = encodeSession({
      ...LOCATION,
      member: PREVIOUS,
      witnesses: [PREVIOUS],
      servers: [],
      isEnded,
      isLeaving: false,
    });
    const key = getSessionKey(PREVIOUS.host);
    const written = await this.store.updateObject(key, version, value)();
    if (E.isLeft(written)) throw new Error(written.left.text);
    return written.right;
  }

  /** Writes the sessions of hosts that may become witnesses. */
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

  /** Advances time in steps, letting promises settle in between. */
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
      owner: PREVIOUS,
      token: generation,
    }));
    const assignment = {service: SERVICE, generation, slices, writer: PREVIOUS};
    const key = getAssignmentKey(SERVICE);
    const value = encodeAssignment(assignment);
    const written = await this.store.updateObject(key, version, value)();
    if (E.isLeft(written)) throw new Error(written.left.text);
    return written.right;
  }
}

function createBench(): Bench {
  const system = new ManualSystem();
  return new Bench(new MemoryStore(system), system);
}

test('a daemon has joined once it knows the assignments that its previous process could grant from', async t => {
  const bench = createBench();
  await bench.writePreviousSession();
  const version = await bench.writeAssignment(1, 0);
  await bench.watcher.tryRefreshView(0);
  await bench.writeAssignment(2, version);
  void bench.manager.run();
  await runPromises();
  t.deepEqual(bench.manager.getSession()?.follows, [PREVIOUS.incarnation]);
  t.false(bench.manager.isJoined());
  await bench.watcher.tryRefreshView(0);
  t.is(bench.view.getAssignment(SERVICE)?.assignment.generation, 2);
  t.true(bench.manager.isJoined());
  await bench.manager.stop(true);
});

/** Clock divergence when a host is suspended for 2.3 s and its wall clock is set back by 2 s. */
const CLOCK_DIFFERENCE_MS = 300;

test('after the clocks have diverged, the lease is not held until a later heartbeat is answered', async t => {
  const bench = createBench();
  await bench.startWithLease();
  t.true(bench.manager.isHeld());
  const sentBefore = [...bench.sent];
  bench.moveClocks(0, CLOCK_DIFFERENCE_MS);
  t.is(bench.manager.getEnd().monotonicMs, -Infinity);
  t.false(bench.manager.isHeld());
  t.is(bench.sent.length, sentBefore.length + 1);
  bench.answer(sentBefore.at(-1) ?? 0);
  t.false(bench.manager.isHeld());
  bench.answerLast();
  t.true(bench.manager.isHeld());
  await bench.manager.stop(true);
});

test('a renewal after a clock mismatch is notified at once', async t => {
  const bench = createBench();
  await bench.startWithLease();
  let renewals = 0;
  bench.manager.addRenewalListener(() => (renewals += 1));
  bench.moveClocks(0, CLOCK_DIFFERENCE_MS);
  t.false(bench.manager.isHeld());
  bench.answerLast();
  t.is(renewals, 1);
  await bench.manager.stop(true);
});

test('answers from before a clock mismatch do not restore the lease when the clocks agree again', async t => {
  const bench = createBench();
  await bench.startWithLease();
  bench.moveClocks(0, -CLOCK_DIFFERENCE_MS);
  t.false(bench.manager.isHeld());
  bench.moveClocks(0, CLOCK_DIFFERENCE_MS);
  t.false(bench.manager.isHeld());
  await bench.manager.stop(true);
});

test('a heartbeat in flight during a clock mismatch renews nothing when the clocks agree again', async t => {
  const bench = createBench();
  await bench.watcher.tryRefreshView(0);
  void bench.manager.run();
  await runPromises();
  const sequence = bench.sent.at(-1) ?? 0;
  bench.moveClocks(0, -CLOCK_DIFFERENCE_MS);
  t.false(bench.manager.isHeld());
  bench.moveClocks(0, CLOCK_DIFFERENCE_MS);
  bench.answer(sequence);
  t.false(bench.manager.isHeld());
  await bench.manager.stop(true);
});

test('repeated clock mismatches trigger at most one round of heartbeats per interval', async t => {
  const bench = createBench();
  await bench.startWithLease();
  const sentBefore = bench.sent.length;
  for (let step = 0; step < 50; step++) {
    bench.moveClocks(1, CLOCK_DIFFERENCE_MS);
    t.false(bench.manager.isHeld());
    bench.answerLast();
  }
  t.is(bench.sent.length, sentBefore + 1);
  await bench.manager.stop(true);
});

test('a process that paused between reading its two clocks keeps its lease', async t => {
  const bench = createBench();
  await bench.startWithLease();
  const {now} = bench.system;
  const readings = [{...now, wallMs: now.wallMs + CLOCK_DIFFERENCE_MS}];
  bench.system.getNow = () => readings.shift() ?? now;
  const sentBefore = bench.sent.length;
  t.true(bench.manager.isHeld());
  t.is(readings.length, 0);
  t.is(bench.sent.length, sentBefore);
  await bench.manager.stop(true);
});

test('a previous process whose session is still in force may have granted keys, unlike one whose session was ended meanwhile', async t => {
  const live = createBench();
  await live.writePreviousSession();
  await live.watcher.tryRefreshView(0);
  void live.manager.run();
  await runPromises();
  t.true(live.manager.hasAdoptedSession());
  await live.manager.stop(true);

  const ended = createBench();
  const version = await ended.writePreviousSession();
  await ended.watcher.tryRefreshView(0);
  await ended.writePreviousSession(true, version);
  void ended.manager.run();
  for (let count = 0; count < 10; count++) {
    await runPromises();
    ended.system.shift(100);
  }
  t.not(ended.manager.getSession(), undefined);
  t.false(
    ended.manager.hasAdoptedSession(),
    'its grants expired before its session ended',
  );
  await ended.manager.stop(true);
});

test('a witness that has fenced a member, and so never renews its lease again, is replaced', async t => {
  const bench = createBench();
  await bench.writeOthers(['h2', 'h3', 'h4', 'h5']);
  await bench.watcher.tryRefreshView(0);
  void bench.manager.run();
  await bench.waitFor(3_000);
  const [fencing] = bench.manager.getSession()?.witnesses ?? [];
  if (fencing === undefined) return t.fail('the session has no witness');
  for (let sequence = 1; sequence < 10; sequence++)
    bench.manager.receiveAnswer(
      bench.manager.getMember(),
      fencing,
      sequence,
      true,
    );
  await bench.waitFor(3_000);
  const witnesses = bench.manager.getSession()?.witnesses ?? [];
  t.is(witnesses.length, 3);
  t.false(witnesses.some(({host}) => host === fencing.host));
  await bench.manager.stop(true);
});

test('a witness that has fenced a member is kept if too few others are left', async t => {
  const bench = createBench();
  await bench.writeOthers(['h2', 'h3', 'h4']);
  await bench.watcher.tryRefreshView(0);
  void bench.manager.run();
  await bench.waitFor(3_000);
  const [fencing] = bench.manager.getSession()?.witnesses ?? [];
  if (fencing === undefined) return t.fail('the session has no witness');
  bench.manager.receiveAnswer(bench.manager.getMember(), fencing, 1, true);
  await bench.waitFor(3_000);
  t.is(bench.manager.getSession()?.witnesses.length, 3);
  await bench.manager.stop(true);
});

test('a heartbeat in flight renews nothing after two clock mismatches in quick succession', async t => {
  const bench = createBench();
  await bench.startWithLease();
  bench.system.shift(490);
  bench.answerLast();
  bench.moveClocks(0, CLOCK_DIFFERENCE_MS);
  t.false(bench.manager.isHeld());
  bench.answerLast();
  t.true(bench.manager.isHeld());
  bench.moveClocks(0, 15);
  const sentBefore = bench.sent.length;
  bench.system.shift(10);
  t.is(bench.sent.length, sentBefore + 1, 'the next heartbeat is in flight');
  bench.moveClocks(0, 10);
  t.false(bench.manager.isHeld());
  bench.moveClocks(0, CLOCK_DIFFERENCE_MS);
  t.false(bench.manager.isHeld());
  bench.moveClocks(0, -CLOCK_DIFFERENCE_MS);
  bench.answer(bench.sent[sentBefore] ?? 0);
  t.false(bench.manager.isHeld());
  await bench.manager.stop(true);
});

test('at rest the choice of witnesses is not derived again, however large the fleet', async t => {
  const bench = createBench();
  await bench.writeOthers(['h2', 'h3', 'h4', 'h5', 'h6', 'h7']);
  await bench.startWithLease();
  await bench.waitFor(6_000);
  await bench.watcher.tryRefreshView(0);
  await bench.waitFor(1_000);
  let reads = 0;
  const [session] = bench.view.getLiveSessions();
  const {dataCentre} = LOCATION;
  Object.defineProperty(session, 'dataCentre', {
    get: () => {
      reads += 1;
      return dataCentre;
    },
  });
  await bench.waitFor(5_000);
  t.is(reads, 0);
  await bench.writeOthers(['h8']);
  await bench.watcher.tryRefreshView(0);
  await bench.waitFor(1_000);
  t.true(reads > 0, 'a new member is considered');
});

test('a restarted daemon that was given an old list still learns what its previous process wrote last', async t => {
  const bench = createBench();
  const version = await bench.writePreviousSession();
  await bench.watcher.tryRefreshView(0);
  const address = {ip: '127.0.0.1', port: 9};
  const departed = {
    service: SERVICE,
    address,
    slots: 6,
    connections: 10,
    isLeaving: true,
  };
  const value = encodeSession({
    ...LOCATION,
    member: PREVIOUS,
    witnesses: [PREVIOUS],
    servers: [departed],
    isEnded: false,
    isLeaving: false,
  });
  const key = getSessionKey(PREVIOUS.host);
  await bench.store.updateObject(key, version, value)();
  void bench.manager.run();
  await bench.waitFor(1_000);
  t.like(bench.manager.getPreviousServers()[0], {
    service: SERVICE,
    isLeaving: true,
  });
  t.deepEqual(bench.manager.getSession()?.follows, [PREVIOUS.incarnation]);
});

/** A system that creates a new identifier each time. */
class NumberingSystem extends ManualSystem {
  private static created = 0;

  override createId(): string {
    NumberingSystem.created += 1;
    return `id${NumberingSystem.created}`;
  }
}

/** A daemon whose store can be restored from a backup. */
class RestorableBench extends Bench<RestorableStore> {
  constructor(store = new RestorableStore(), system = new NumberingSystem()) {
    super(store, system);
  }

  /** Restores the store and reads it again. */
  async resetStore(backup: Backup): Promise<void> {
    this.store.reset(backup);
    await this.refresh();
  }

  /** Watches the store, and reads it if it was restored. */
  async refresh(): Promise<void> {
    await this.watcher.tryRefreshView(0);
    await runPromises();
  }

  async readStored() {
    const read = await this.store.getObject(getSessionKey(PREVIOUS.host))();
    if (E.isLeft(read)) throw new Error(read.left.text);
    const {right: object} = read;
    return object && {...object, session: parseSession(object.value)};
  }

  /** Advances time, answering each heartbeat. */
  async waitWithLease(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.waitFor(STEP_MS);
      this.answerLast();
    }
  }
}

test('after the store was restored, a session is written again once and the lease goes on meanwhile', async t => {
  const bench = new RestorableBench();
  const empty = bench.store.getBackup();
  await bench.startWithLease();
  const {member} = bench.manager.getSession() ?? {};
  const written = bench.store.getBackup();
  for (const [name, backup] of Object.entries({empty, written})) {
    await bench.resetStore(backup);
    t.true(bench.manager.isHeld(), name);
    const before = bench.store.updates.length;
    await bench.waitWithLease(2_000);
    t.is(bench.store.updates.length, before + 1, name);
    t.true(bench.manager.isHeld(), name);
    const stored = await bench.readStored();
    t.is(stored?.origin, undefined, name);
    t.deepEqual(stored?.session.member, member, name);
  }
  await bench.manager.stop(true);
});

test('a daemon that sees the restoration late, with a session to write, makes no write at a version of the era before', async t => {
  const bench = new RestorableBench();
  await bench.startWithLease();
  const backup = bench.store.getBackup();
  bench.manager.startLeaving();
  await bench.waitWithLease(500);
  bench.store.reset(backup);
  bench.manager.setServers([
    {
      service: SERVICE,
      address: {ip: '127.0.0.1', port: 9},
      slots: 1,
      connections: 1,
      isLeaving: false,
    },
  ]);
  const before = bench.store.updates.length;
  await bench.waitWithLease(2_000);
  t.true(bench.store.updates.length - before <= 2, 'no loop of conflicts');
  t.true(bench.manager.isHeld());
  const stored = await bench.readStored();
  t.is(stored?.origin, undefined);
  t.like(stored?.session, {isLeaving: true, isEnded: false});
  t.is(stored?.session.servers.length, 1);
  await bench.manager.stop(true);
});

test('while the restored store lacks the session and the view does not know yet, the retries stay few', async t => {
  const bench = new RestorableBench();
  const empty = bench.store.getBackup();
  await bench.startWithLease();
  bench.store.reset(empty);
  bench.manager.startLeaving();
  const before = bench.store.updates.length;
  await bench.waitWithLease(2_000);
  t.true(bench.store.updates.length - before <= 9);
  await bench.refresh();
  await bench.waitWithLease(1_000);
  const stored = await bench.readStored();
  t.like(stored?.session, {isLeaving: true, isEnded: false});
  await bench.manager.stop(true);
});

test('a store that is restored again before the session is written leads to one write in the last era', async t => {
  const bench = new RestorableBench();
  await bench.startWithLease();
  const backup = bench.store.getBackup();
  bench.store.onUpdate = () => {
    bench.store.onUpdate = () => {};
    bench.store.reset(backup);
  };
  await bench.resetStore(backup);
  const before = bench.store.updates.length;
  await bench.waitWithLease(2_000);
  t.is(bench.store.updates.length, before + 2);
  const stored = await bench.readStored();
  t.is(getEra(stored?.version ?? 0), 2);
  t.is(stored?.origin, undefined);
  t.true(bench.manager.isHeld());
  await bench.manager.stop(true);
});

test('a member whose end the restored store lacks writes nothing in it unless its witnesses renew its lease', async t => {
  const bench = new RestorableBench();
  await bench.startWithLease();
  const {member} = bench.manager.getSession() ?? {};
  await bench.resetStore(bench.store.getBackup());
  const before = bench.store.updates.length;
  await bench.waitFor(2_500);
  t.is(bench.store.updates.length, before);
  t.false(bench.manager.isHeld());
  await bench.waitFor(1_000);
  t.notDeepEqual(bench.manager.getMember(), member, 'it joins again');
  await bench.manager.stop(true);
});

test('a daemon that stops ends its session in a restored store that it has not seen yet', async t => {
  for (const isStored of [false, true]) {
    const bench = new RestorableBench();
    const empty = bench.store.getBackup();
    await bench.startWithLease();
    const member = bench.manager.getMember();
    bench.store.reset(isStored ? bench.store.getBackup() : empty);
    const stopped = bench.manager.stop();
    await bench.waitFor(500);
    await stopped;
    const stored = await bench.readStored();
    t.like(stored?.session, {member, isEnded: true}, String(isStored));
    t.is(stored?.origin, undefined, String(isStored));
  }
});

test('a new process that may not know its previous one waits until the grants of that one have lapsed', async t => {
  const first = new RestorableBench();
  const empty = first.store.getBackup();
  await first.startWithLease();
  const written = first.store.getBackup();
  await first.manager.stop(true);
  for (const backup of [empty, written]) {
    first.store.reset(backup);
    const bench = new RestorableBench(first.store);
    const before = first.store.updates.length;
    await bench.refresh();
    void bench.manager.run();
    await bench.waitFor(1_800);
    t.is(bench.store.updates.length, before);
    await bench.waitFor(500);
    t.is(bench.store.updates.length, before + 1);
    await bench.manager.stop(true);
  }
});

test('a new process joins without a wait if the store has its predecessor of the present era', async t => {
  const first = new RestorableBench();
  await first.startWithLease();
  await first.resetStore(first.store.getBackup());
  await first.waitWithLease(1_000);
  await first.manager.stop(true);
  const bench = new RestorableBench(first.store);
  const before = first.store.updates.length;
  await bench.refresh();
  void bench.manager.run();
  await bench.waitFor(100);
  t.is(bench.store.updates.length, before + 1);
  await bench.manager.stop(true);
});
