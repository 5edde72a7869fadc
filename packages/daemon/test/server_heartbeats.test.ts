/**
 * Tests of what a daemon decides about servers that name themselves and get their grants in answers to
 * heartbeats.
 */
import test from 'ava';

import {createLog} from '@dottereldrift/core/log.js';
import {FifoPolicy} from '@dottereldrift/limits/fifo_policy.js';
import type {ServiceRules} from '@dottereldrift/manifest/types.js';
import {LEASE_DURATION_MS} from '@dottereldrift/membership/constants.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';
import type {Assignment} from '@dottereldrift/ownership/types.js';

import {ServerLeaves} from '../src/server_leaves.js';
import {SERVER_SILENCE_MS, ServerRegistry} from '../src/server_registry.js';
import type {ServerHeartbeat} from '../src/server_types.js';
import {ManualSystem} from './fakes.js';

const SERVICE = 'menu';
const SELF = {host: 'h1', incarnation: 'a'};
const ADMISSION_MS = 1_500;
const LEASE_MS = 2_040;
const BORN_MS = 1_700_000_000_000;
const RULES = {division: 'byRange', fencing: 'checked'} as ServiceRules;

const ASSIGNMENT: Assignment = {
  service: SERVICE,
  generation: 5,
  writer: SELF,
  slices: createSlices(1).map(slice => ({...slice, owner: SELF, token: 5})),
};

type HeartbeatChange = Partial<ServerHeartbeat> & {
  readonly isLeaving?: boolean;
};

function runPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

class Bench {
  readonly system = new ManualSystem();
  published: readonly ServerInfo[] = [];
  earlier: readonly ServerInfo[] = [];
  hasFollowed = false;
  isJoined = true;
  mayGrant = true;
  isExpecting = false;
  held = ASSIGNMENT.slices;
  rules: ServiceRules | undefined = RULES;
  readonly registry = new ServerRegistry(
    this.system,
    {
      getEnd: () => {
        const {monotonicMs, wallMs} = this.system.getNow();
        return {monotonicMs: monotonicMs + LEASE_MS, wallMs: wallMs + LEASE_MS};
      },
      setServers: servers => {
        this.published = servers;
      },
      isJoined: () => this.isJoined,
      getEarlierServers: () => this.earlier,
      hasFollowed: () => this.hasFollowed,
    },
    () => new FifoPolicy(this.system, 1, () => 10),
    {
      getAssignment: () => ASSIGNMENT,
      getHeldSlices: () => this.held,
      mayGrant: () => this.mayGrant,
      isExpecting: () => this.isExpecting,
    },
    () => this.rules,
    createLog('test', 'hidden', 'error'),
    undefined,
    {
      isAnswering: true,
      leavingAdmissionMs: ADMISSION_MS,
      maxHoldMs: 10_000,
      maxGrantBytes: 4_000,
    },
  );

  sendHeartbeat(change: HeartbeatChange = {}) {
    return this.registry.receiveHeartbeat(this.createHeartbeat(change));
  }

  /** Asks for all slices to be let go; admission to them ends when the server is told. */
  releaseAll() {
    return this.registry.releaseSlices(SERVICE, ASSIGNMENT.slices, () => {
      this.held = [];
    });
  }

  createHeartbeat(change: HeartbeatChange = {}): ServerHeartbeat {
    const {isLeaving = false, ...rest} = change;
    const instanceId = rest.instanceId ?? 'i-1';
    const bornAtMs = rest.bornAtMs ?? BORN_MS;
    return {
      info: {
        service: SERVICE,
        address: {ip: '127.0.0.1', port: 1},
        slots: 6,
        connections: 10,
        isLeaving,
        life: `${instanceId}/${bornAtMs}`,
      },
      sequence: 1,
      report: {held: [], freed: []},
      ...rest,
      instanceId,
      bornAtMs,
    };
  }
}

/** The life that an earlier run of the daemon published. */
function createEarlier(life: string, voidToken: number): ServerInfo {
  return {
    service: SERVICE,
    address: {ip: '127.0.0.1', port: 1},
    slots: 6,
    connections: 10,
    isLeaving: false,
    life,
    voidToken,
  };
}

test('a heartbeat that was overtaken, or that an earlier life sent, changes nothing', t => {
  const bench = new Bench();
  t.not(bench.sendHeartbeat({sequence: 4}), 'stale');
  t.is(bench.sendHeartbeat({sequence: 4, isLeaving: true}), 'stale');
  t.is(bench.sendHeartbeat({sequence: 3, isLeaving: true}), 'stale');
  const old = {instanceId: 'i-0', bornAtMs: BORN_MS - 1, sequence: 99};
  t.is(bench.sendHeartbeat(old), 'stale');
  t.true(bench.registry.isAccepting(SERVICE));
  t.not(bench.sendHeartbeat({sequence: 1, bornAtMs: BORN_MS + 1}), 'stale');
});

test('the life that an earlier run of the daemon knew keeps its tokens', t => {
  const bench = new Bench();
  bench.earlier = [createEarlier(`i-1/${BORN_MS}`, 3)];
  const granted = bench.sendHeartbeat();
  t.is(bench.published[0]?.voidToken, 3);
  t.is(granted !== 'stale' && granted?.keys.length, 1);
});

test('a life that is not known gets no slice under a token that was given before it', t => {
  const bench = new Bench();
  bench.earlier = [createEarlier('i-0/1', 3)];
  const granted = bench.sendHeartbeat();
  t.is(bench.published[0]?.voidToken, ASSIGNMENT.generation);
  t.is(granted !== 'stale' && granted?.keys.length, 0);
});

test('nothing is granted or taken away before this daemon knows what ran here, or may grant', t => {
  const bench = new Bench();
  bench.isJoined = false;
  t.is(bench.sendHeartbeat({sequence: 1}), undefined);
  bench.isJoined = true;
  bench.registry.start();
  bench.mayGrant = false;
  t.is(bench.sendHeartbeat({sequence: 2}), undefined);
  bench.mayGrant = true;
  t.not(bench.sendHeartbeat({sequence: 3}), undefined);
});

test('a new life is granted nothing until the grants of the life before have ended', t => {
  const bench = new Bench();
  bench.earlier = [createEarlier(`i-1/${BORN_MS}`, 0)];
  t.not(bench.sendHeartbeat(), undefined);
  const next = {instanceId: 'i-2', bornAtMs: BORN_MS + 1};
  t.is(bench.sendHeartbeat(next), undefined);
  bench.system.shift(LEASE_MS);
  t.not(bench.sendHeartbeat({...next, sequence: 2}), undefined);
  t.is(bench.published[0]?.voidToken, ASSIGNMENT.generation);
});

test('a server that says that it ends gets work for the time allowed, and may end with its heartbeats going on', t => {
  const bench = new Bench();
  bench.sendHeartbeat();
  bench.registry.receiveLeave('i-1');
  t.true(bench.registry.isAccepting(SERVICE));
  bench.system.shift(ADMISSION_MS);
  bench.sendHeartbeat({sequence: 2});
  t.false(bench.registry.isAccepting(SERVICE));
  t.false(bench.registry.hasStayingServer());
});

test('a server that leaves when it is first heard gets no work: its leave may have been acknowledged before', t => {
  const bench = new Bench();
  bench.sendHeartbeat({isLeaving: true});
  t.false(bench.registry.isAccepting(SERVICE));
});

test('a server that has said that it ends before it was heard here gets no work when it is heard', t => {
  const bench = new Bench();
  bench.registry.receiveLeave('i-1');
  bench.sendHeartbeat();
  t.true(bench.published[0]?.isLeaving);
  t.false(bench.registry.isAccepting(SERVICE));
  bench.sendHeartbeat({sequence: 2});
  t.true(bench.published[0]?.isLeaving);
});

test('a server that has said that it ends while it was taken for lost gets no work when it is heard again', t => {
  const bench = new Bench();
  bench.registry.start();
  bench.sendHeartbeat();
  for (let ms = 0; ms <= SERVER_SILENCE_MS; ms += 100) bench.system.shift(100);
  t.is(bench.registry.getServer(SERVICE), undefined);
  bench.registry.receiveLeave('i-1');
  bench.sendHeartbeat({sequence: 2});
  t.true(bench.published[0]?.isLeaving);
  t.false(bench.registry.isAccepting(SERVICE));
});

test('a server that has said that it ends to the run of the daemon before gets no work from this one', t => {
  const bench = new Bench();
  bench.earlier = [{...createEarlier(`i-1/${BORN_MS}`, 3), isLeaving: true}];
  bench.sendHeartbeat();
  t.true(bench.published[0]?.isLeaving);
  t.false(bench.registry.isAccepting(SERVICE));
});

test('a server that is heard before it is known that it left the run of the daemon before gets no work', t => {
  const bench = new Bench();
  bench.isJoined = false;
  bench.registry.start();
  bench.sendHeartbeat();
  bench.earlier = [{...createEarlier(`i-1/${BORN_MS}`, 3), isLeaving: true}];
  bench.isJoined = true;
  bench.system.shift(100);
  t.true(bench.published[0]?.isLeaving);
  t.false(bench.registry.isAccepting(SERVICE));
  bench.sendHeartbeat({sequence: 2});
  t.false(bench.registry.isAccepting(SERVICE));
});

test('a server that started again under its identifier after a leave that was not heard of is not leaving', t => {
  const bench = new Bench();
  bench.registry.receiveLeave('i-1');
  bench.sendHeartbeat({bornAtMs: BORN_MS + 1});
  t.false(bench.published[0]?.isLeaving);
  t.true(bench.registry.isAccepting(SERVICE));
});

test('leaves of lives that have ended are bounded, and the last ones are kept', t => {
  const bench = new Bench();
  const leaves = new ServerLeaves(bench.system, () => []);
  const lives = Array.from({length: 100}, (_, index) =>
    bench.createHeartbeat({instanceId: `i-${index}`}),
  );
  for (const life of lives) leaves.keepHeard(life);
  t.deepEqual(
    [lives[0], lives.at(-1)].map(life => life && leaves.hasLeft(life)),
    [false, true],
  );
});

test('leaves of servers that are never heard are bounded', t => {
  const bench = new Bench();
  for (let index = 1; index <= 100; index++)
    bench.registry.receiveLeave(`i-${index}`);
  bench.sendHeartbeat({instanceId: 'i-1'});
  t.false(bench.published[0]?.isLeaving);
  bench.sendHeartbeat({instanceId: 'i-100', bornAtMs: BORN_MS});
  bench.system.shift(100);
  t.true(bench.published[0]?.isLeaving);
});

test('a daemon that has just started releases no slice before the grants of the run before it have ended', t => {
  const bench = new Bench();
  const release = () => bench.releaseAll();
  t.deepEqual(release(), []);
  t.is(bench.held.length, 1, 'requests are admitted until the server is told');
  bench.system.shift(LEASE_DURATION_MS);
  release();
  t.is(release().length, 1);
});

test('grants of the run before end one lease after this run has bound its addresses, however late that is', t => {
  const bench = new Bench();
  const release = () => bench.releaseAll();
  release();
  bench.system.shift(LEASE_DURATION_MS);
  bench.registry.start();
  t.deepEqual(release(), []);
  t.deepEqual(release(), []);
  bench.system.shift(LEASE_DURATION_MS);
  release();
  t.is(release().length, 1);
});

test('a daemon that has just started does not end its session before the grants of the run before it have ended', async t => {
  const bench = new Bench();
  let isEnded = false;
  const ended = bench.registry.endGrants().then(() => {
    isEnded = true;
  });
  await runPromises();
  t.false(isEnded);
  for (let ms = 0; ms < LEASE_DURATION_MS; ms += 100) {
    bench.system.shift(100);
    await runPromises();
  }
  await ended;
  t.true(isEnded);
});

test('a life that fell silent before it could be compared is still a new life when it returns', t => {
  const bench = new Bench();
  bench.earlier = [createEarlier('i-0/1', 3)];
  bench.isJoined = false;
  bench.registry.start();
  bench.sendHeartbeat({sequence: 1});
  for (let ms = 0; ms <= SERVER_SILENCE_MS; ms += 100) bench.system.shift(100);
  t.is(bench.registry.getServer(SERVICE), undefined);
  bench.sendHeartbeat({sequence: 2});
  bench.isJoined = true;
  bench.system.shift(100);
  t.is(bench.published[0]?.voidToken, ASSIGNMENT.generation);
});

test('while no rules are known, keys are released by the word of the server or the end of its grants only', async t => {
  const bench = new Bench();
  bench.sendHeartbeat();
  bench.rules = undefined;
  t.true(bench.registry.isAnswering(SERVICE));
  t.false(await bench.registry.tryRevoke(SERVICE));
});

test('keys that were granted are not given on because the rules no longer call for grants', async t => {
  const bench = createKnownBench();
  bench.system.shift(LEASE_DURATION_MS);
  bench.sendHeartbeat();
  bench.rules = {...RULES, fencing: 'none'};
  t.false(await bench.registry.tryRevoke(SERVICE));
  bench.system.shift(LEASE_MS);
  t.true(await bench.registry.tryRevoke(SERVICE));
});

test('a daemon that is stopped before it has heard its server goes on beside a server that stays', t => {
  const bench = new Bench();
  t.false(bench.registry.hasStayingServer());
  bench.earlier = [createEarlier('i-1/1', 0)];
  t.true(bench.registry.hasStayingServer());
  bench.earlier = [{...createEarlier('i-1/1', 0), isLeaving: true}];
  t.false(bench.registry.hasStayingServer());
});

test('a server of the run before that is not heard is taken out of the session, however late that is in force', t => {
  const bench = new Bench();
  bench.isJoined = false;
  bench.earlier = [createEarlier('i-1/1', 0)];
  bench.published = bench.earlier;
  bench.registry.start();
  bench.system.shift(SERVER_SILENCE_MS + 1);
  bench.isJoined = true;
  bench.system.shift(100);
  t.deepEqual(bench.published, []);
});

test('a server that starts again under its identifier is not taken for leaving by the leave of the life before', t => {
  const bench = new Bench();
  bench.registry.start();
  bench.sendHeartbeat();
  bench.registry.receiveLeave('i-1');
  bench.sendHeartbeat({sequence: 2});
  t.true(bench.published[0]?.isLeaving);
  bench.sendHeartbeat({sequence: 1, bornAtMs: BORN_MS + 1});
  t.false(bench.published[0]?.isLeaving);
  t.true(bench.registry.isAccepting(SERVICE));
});

test('a server that was started after the clock stepped back is heard once the earlier life is silent', t => {
  const bench = new Bench();
  bench.registry.start();
  bench.sendHeartbeat();
  const next = {instanceId: 'i-2', bornAtMs: BORN_MS - 500};
  t.is(bench.sendHeartbeat(next), 'stale');
  for (let ms = 0; ms <= SERVER_SILENCE_MS; ms += 100) bench.system.shift(100);
  t.not(bench.sendHeartbeat({...next, sequence: 2}), 'stale');
  t.is(bench.published[0]?.life, `i-2/${BORN_MS - 500}`);
});

test('a slice is not released by a heartbeat that says nothing of the keys that are held', t => {
  const bench = createKnownBench();
  const release = () => bench.releaseAll();
  bench.system.shift(LEASE_DURATION_MS);
  bench.sendHeartbeat({sequence: 1});
  release();
  bench.sendHeartbeat({sequence: 2, report: HELD});
  t.is(bench.held.length, 0, 'the server has been told');
  t.is(bench.sendHeartbeat({sequence: 3, report: undefined}), undefined);
  t.deepEqual(release(), []);
  bench.sendHeartbeat({sequence: 4});
  t.is(release().length, 1);
});

test('a slice is not released by the word of another life than the one that holds it', t => {
  const bench = createKnownBench();
  const release = () => bench.releaseAll();
  bench.system.shift(LEASE_DURATION_MS);
  bench.sendHeartbeat({sequence: 1});
  release();
  bench.sendHeartbeat({sequence: 2, report: HELD});
  t.is(bench.held.length, 0, 'the server has been told');
  bench.sendHeartbeat({instanceId: 'i-2', bornAtMs: BORN_MS + 1});
  t.deepEqual(release(), []);
  bench.system.shift(LEASE_MS);
  t.is(release().length, 1);
});

test('a life that is first heard after a restart of the daemon is granted nothing until the grants of the run before have ended', t => {
  const bench = new Bench();
  bench.earlier = [createEarlier('i-0/1', 3)];
  bench.hasFollowed = true;
  t.is(bench.sendHeartbeat({sequence: 1}), undefined);
  bench.system.shift(LEASE_DURATION_MS - 1);
  t.is(bench.sendHeartbeat({sequence: 2}), undefined);
  bench.system.shift(1);
  t.not(bench.sendHeartbeat({sequence: 3}), undefined);
});

test('heartbeats from before a restart of the daemon that arrive late after it release no slice', t => {
  const bench = createKnownBench();
  bench.hasFollowed = true;
  const release = () => bench.releaseAll();
  release();
  // The server sent these before the run before this one gave it its keys.
  bench.sendHeartbeat({sequence: 1});
  bench.sendHeartbeat({sequence: 2});
  t.deepEqual(release(), []);
  t.is(bench.held.length, 1, 'the server is not told before its word counts');
  bench.system.shift(LEASE_DURATION_MS);
  bench.sendHeartbeat({sequence: 3, report: HELD});
  t.deepEqual(release(), []);
  bench.sendHeartbeat({sequence: 4});
  t.is(release().length, 1);
});

const HELD = {held: [{first: 0, last: 65_535, token: 5}], freed: []};

/** Returns a daemon that knows the life of its server, so that the server gets its keys. */
function createKnownBench(): Bench {
  const bench = new Bench();
  bench.earlier = [bench.createHeartbeat().info];
  return bench;
}

test('the answer to a heartbeat waits for news, and no longer than half a second', async t => {
  const bench = createKnownBench();
  t.is(await bench.registry.waitForNews(bench.createHeartbeat()), 0);
  bench.sendHeartbeat();
  const heartbeat = bench.createHeartbeat({report: HELD});
  const silent = bench.registry.waitForNews(heartbeat);
  bench.system.shift(500);
  t.is(await silent, 500);
  bench.sendHeartbeat({sequence: 2, report: HELD});
  const asked = bench.registry.waitForNews(heartbeat);
  bench.system.shift(120);
  bench.registry.releaseSlices(SERVICE, ASSIGNMENT.slices, () => {});
  t.is(await asked, 120, 'a release that is asked for is told at once');
  bench.isExpecting = true;
  const releasing = bench.registry.waitForNews(heartbeat);
  bench.system.shift(100);
  t.is(await releasing, 0, 'it does not wait for keys on their way');
});

test('the answer to a heartbeat that brings keys waits a moment for more of them', async t => {
  const bench = createKnownBench();
  bench.sendHeartbeat();
  bench.isExpecting = true;
  const held = [{first: 0, last: 100, token: 5}];
  const report = {held, freed: []};
  const waiting = bench.registry.waitForNews(bench.createHeartbeat({report}));
  bench.system.shift(40);
  bench.isExpecting = false;
  bench.registry.sendGrants();
  t.is(await waiting, 40);
  bench.isExpecting = true;
  const more = bench.registry.waitForNews(bench.createHeartbeat({report}));
  bench.system.shift(100);
  t.is(await more, 100);
});

test('the answer to a heartbeat does not wait when keys were let go or a grant must be renewed', async t => {
  const bench = createKnownBench();
  bench.sendHeartbeat();
  const freed = [{first: 0, last: 9, handover: ''}];
  const releasing = bench.createHeartbeat({report: {held: [], freed}});
  t.is(await bench.registry.waitForNews(releasing), 0);
  const leaving = bench.createHeartbeat({isLeaving: true, report: HELD});
  t.is(await bench.registry.waitForNews(leaving), 0);
  bench.system.shift(1_400);
  const late = bench.createHeartbeat({report: HELD});
  t.is(await bench.registry.waitForNews(late), 0);
});
