/**
 * Tests of the registry with servers that report an identifier and get their grants in responses to
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

import {ServerDepartures} from '../src/server_departures.js';
import {SERVER_SILENCE_MS, ServerRegistry} from '../src/server_registry.js';
import type {ServerHeartbeat} from '../src/server_types.js';
import {ManualSystem} from './fakes.js';

const SERVICE = 'menu';
const SELF = {host: 'h1', incarnation: 'a'};
const ADMISSION_MS = 1_500;
const LEASE_MS = 2_040;
const START_MS = 1_700_000_000_000;
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
  previousServers: readonly ServerInfo[] = [];
  hasAdoptedSession = false;
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
      getPreviousServers: () => this.previousServers,
      hasAdoptedSession: () => this.hasAdoptedSession,
    },
    () => new FifoPolicy(this.system, 1, () => 10),
    {
      getAssignment: () => ASSIGNMENT,
      getHighestToken: () => ASSIGNMENT.generation,
      getHeldSlices: () => this.held,
      mayGrant: () => this.mayGrant,
      isExpecting: () => this.isExpecting,
    },
    () => this.rules,
    createLog('test', 'hidden', 'error'),
    undefined,
    {
      isGrantingByHeartbeat: true,
      leavingAdmissionMs: ADMISSION_MS,
      maxHoldMs: 10_000,
      maxGrantBytes: 4_000,
    },
  );

  sendHeartbeat(change: HeartbeatChange = {}) {
    return this.registry.receiveHeartbeat(this.createHeartbeat(change));
  }

  /** Requests the release of all slices; admission to them stops when the server is told. */
  releaseAll() {
    return this.registry.releaseSlices(SERVICE, ASSIGNMENT.slices, () => {
      this.held = [];
    });
  }

  createHeartbeat(change: HeartbeatChange = {}): ServerHeartbeat {
    const {isLeaving = false, ...rest} = change;
    const instanceId = rest.instanceId ?? 'i-1';
    const startMs = rest.startedAtMs ?? START_MS;
    return {
      info: {
        service: SERVICE,
        address: {ip: '127.0.0.1', port: 1},
        slots: 6,
        connections: 10,
        isLeaving,
        life: `${instanceId}/${startMs}`,
      },
      sequence: 1,
      report: {held: [], freed: []},
      ...rest,
      instanceId,
      startedAtMs: startMs,
    };
  }
}

/** Returns the server incarnation that the previous daemon process published. */
function createPreviousServer(
  serverIncarnation: string,
  voidToken: number,
): ServerInfo {
  return {
    service: SERVICE,
    address: {ip: '127.0.0.1', port: 1},
    slots: 6,
    connections: 10,
    isLeaving: false,
    life: serverIncarnation,
    voidToken,
  };
}

test('a heartbeat that arrives out of order or from a previous server incarnation changes nothing', t => {
  const bench = new Bench();
  t.not(bench.sendHeartbeat({sequence: 4}), 'stale');
  t.is(bench.sendHeartbeat({sequence: 4, isLeaving: true}), 'stale');
  t.is(bench.sendHeartbeat({sequence: 3, isLeaving: true}), 'stale');
  const old = {instanceId: 'i-0', startedAtMs: START_MS - 1, sequence: 99};
  t.is(bench.sendHeartbeat(old), 'stale');
  t.true(bench.registry.isAccepting(SERVICE));
  t.not(bench.sendHeartbeat({sequence: 1, startedAtMs: START_MS + 1}), 'stale');
});

test('a server incarnation known to the previous daemon process keeps its tokens', t => {
  const bench = new Bench();
  bench.previousServers = [createPreviousServer(`i-1/${START_MS}`, 3)];
  const granted = bench.sendHeartbeat();
  t.is(bench.published[0]?.voidToken, 3);
  t.is(granted !== 'stale' && granted?.keys.length, 1);
});

test('an unknown server incarnation gets no slice under a token that was issued before it', t => {
  const bench = new Bench();
  bench.previousServers = [createPreviousServer('i-0/1', 3)];
  const granted = bench.sendHeartbeat();
  t.is(bench.published[0]?.voidToken, ASSIGNMENT.generation);
  t.is(granted !== 'stale' && granted?.keys.length, 0);
});

test('nothing is granted or revoked before the daemon knows its previous state and may grant', t => {
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

test('a new server incarnation is granted nothing until the grants of the previous one have expired', t => {
  const bench = new Bench();
  bench.previousServers = [createPreviousServer(`i-1/${START_MS}`, 0)];
  t.not(bench.sendHeartbeat(), undefined);
  const next = {instanceId: 'i-2', startedAtMs: START_MS + 1};
  t.is(bench.sendHeartbeat(next), undefined);
  bench.system.shift(LEASE_MS);
  t.not(bench.sendHeartbeat({...next, sequence: 2}), undefined);
  t.is(bench.published[0]?.voidToken, ASSIGNMENT.generation);
});

test('a departing server gets work during the admission period only, even if its heartbeats continue', t => {
  const bench = new Bench();
  bench.sendHeartbeat();
  bench.registry.receiveDeparture('i-1');
  t.true(bench.registry.isAccepting(SERVICE));
  bench.system.shift(ADMISSION_MS);
  bench.sendHeartbeat({sequence: 2});
  t.false(bench.registry.isAccepting(SERVICE));
  t.false(bench.registry.hasRemainingServer());
});

test('a server that is leaving at its first heartbeat gets no work because its departure may have been acknowledged before', t => {
  const bench = new Bench();
  bench.sendHeartbeat({isLeaving: true});
  t.false(bench.registry.isAccepting(SERVICE));
});

test('a server whose departure was announced before its first heartbeat gets no work', t => {
  const bench = new Bench();
  bench.registry.receiveDeparture('i-1');
  bench.sendHeartbeat();
  t.true(bench.published[0]?.isLeaving);
  t.false(bench.registry.isAccepting(SERVICE));
  bench.sendHeartbeat({sequence: 2});
  t.true(bench.published[0]?.isLeaving);
});

test('a server that announced its departure while it was considered lost gets no work when its heartbeats resume', t => {
  const bench = new Bench();
  bench.registry.start();
  bench.sendHeartbeat();
  for (let ms = 0; ms <= SERVER_SILENCE_MS; ms += 100) bench.system.shift(100);
  t.is(bench.registry.getServer(SERVICE), undefined);
  bench.registry.receiveDeparture('i-1');
  bench.sendHeartbeat({sequence: 2});
  t.true(bench.published[0]?.isLeaving);
  t.false(bench.registry.isAccepting(SERVICE));
});

test('a server that announced its departure to the previous daemon process gets no work', t => {
  const bench = new Bench();
  bench.previousServers = [
    {...createPreviousServer(`i-1/${START_MS}`, 3), isLeaving: true},
  ];
  bench.sendHeartbeat();
  t.true(bench.published[0]?.isLeaving);
  t.false(bench.registry.isAccepting(SERVICE));
});

test('a server gets no work if its departure from the previous daemon process becomes known after its first heartbeat', t => {
  const bench = new Bench();
  bench.isJoined = false;
  bench.registry.start();
  bench.sendHeartbeat();
  bench.previousServers = [
    {...createPreviousServer(`i-1/${START_MS}`, 3), isLeaving: true},
  ];
  bench.isJoined = true;
  bench.system.shift(100);
  t.true(bench.published[0]?.isLeaving);
  t.false(bench.registry.isAccepting(SERVICE));
  bench.sendHeartbeat({sequence: 2});
  t.false(bench.registry.isAccepting(SERVICE));
});

test('a server restarted under its identifier is not leaving because of a departure announced before its start', t => {
  const bench = new Bench();
  bench.registry.receiveDeparture('i-1');
  bench.sendHeartbeat({startedAtMs: START_MS + 1});
  t.false(bench.published[0]?.isLeaving);
  t.true(bench.registry.isAccepting(SERVICE));
});

test('the number of recorded departures of server incarnations is bounded, and the newest are kept', t => {
  const bench = new Bench();
  const departures = new ServerDepartures(bench.system, () => []);
  const heartbeats = Array.from({length: 100}, (_, index) =>
    bench.createHeartbeat({instanceId: `i-${index}`}),
  );
  for (const heartbeat of heartbeats) departures.recordDeparture(heartbeat);
  t.deepEqual(
    [heartbeats[0], heartbeats.at(-1)].map(
      heartbeat => heartbeat && departures.hasLeft(heartbeat),
    ),
    [false, true],
  );
});

test('the number of recorded departures of unknown servers is bounded', t => {
  const bench = new Bench();
  for (let index = 1; index <= 100; index++)
    bench.registry.receiveDeparture(`i-${index}`);
  bench.sendHeartbeat({instanceId: 'i-1'});
  t.false(bench.published[0]?.isLeaving);
  bench.sendHeartbeat({instanceId: 'i-100', startedAtMs: START_MS});
  bench.system.shift(100);
  t.true(bench.published[0]?.isLeaving);
});

test('a restarted daemon releases no slice before the grants of its previous process have expired', t => {
  const bench = new Bench();
  const release = () => bench.releaseAll();
  t.deepEqual(release(), []);
  t.is(bench.held.length, 1, 'requests are admitted until the server is told');
  bench.system.shift(LEASE_DURATION_MS);
  release();
  t.is(release().length, 1);
});

test('grants of the previous process expire one lease after the new one has bound its addresses, however late that is', t => {
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

test('a restarted daemon does not end its session before the grants of its previous process have expired', async t => {
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

test('a server incarnation that became silent before it was compared still counts as new when its heartbeats resume', t => {
  const bench = new Bench();
  bench.previousServers = [createPreviousServer('i-0/1', 3)];
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

test('while no rules are known, keys are released only by a server report or when the grants expire', async t => {
  const bench = new Bench();
  bench.sendHeartbeat();
  bench.rules = undefined;
  t.true(bench.registry.isGrantingByHeartbeat(SERVICE));
  t.false(await bench.registry.tryRevoke(SERVICE));
});

test('granted keys are not reassigned early when new rules disable fencing', async t => {
  const bench = createKnownBench();
  bench.system.shift(LEASE_DURATION_MS);
  bench.sendHeartbeat();
  bench.rules = {...RULES, fencing: 'none'};
  t.false(await bench.registry.tryRevoke(SERVICE));
  bench.system.shift(LEASE_MS);
  t.true(await bench.registry.tryRevoke(SERVICE));
});

test('a daemon stopped before the first heartbeat relies on the previous session to tell whether a server remains', t => {
  const bench = new Bench();
  t.false(bench.registry.hasRemainingServer());
  bench.previousServers = [createPreviousServer('i-1/1', 0)];
  t.true(bench.registry.hasRemainingServer());
  bench.previousServers = [
    {...createPreviousServer('i-1/1', 0), isLeaving: true},
  ];
  t.false(bench.registry.hasRemainingServer());
});

test('a server of the previous process without heartbeats is removed from the session, however late the session is in force', t => {
  const bench = new Bench();
  bench.isJoined = false;
  bench.previousServers = [createPreviousServer('i-1/1', 0)];
  bench.published = bench.previousServers;
  bench.registry.start();
  bench.system.shift(SERVER_SILENCE_MS + 1);
  bench.isJoined = true;
  bench.system.shift(100);
  t.deepEqual(bench.published, []);
});

test('a server restarted under its identifier is not leaving because the previous server incarnation departed', t => {
  const bench = new Bench();
  bench.registry.start();
  bench.sendHeartbeat();
  bench.registry.receiveDeparture('i-1');
  bench.sendHeartbeat({sequence: 2});
  t.true(bench.published[0]?.isLeaving);
  bench.sendHeartbeat({sequence: 1, startedAtMs: START_MS + 1});
  t.false(bench.published[0]?.isLeaving);
  t.true(bench.registry.isAccepting(SERVICE));
});

test('heartbeats of a server started after the clock was set back are accepted once the previous server incarnation is silent', t => {
  const bench = new Bench();
  bench.registry.start();
  bench.sendHeartbeat();
  const next = {instanceId: 'i-2', startedAtMs: START_MS - 500};
  t.is(bench.sendHeartbeat(next), 'stale');
  for (let ms = 0; ms <= SERVER_SILENCE_MS; ms += 100) bench.system.shift(100);
  t.not(bench.sendHeartbeat({...next, sequence: 2}), 'stale');
  t.is(bench.published[0]?.life, `i-2/${START_MS - 500}`);
});

test('a slice is not released by a heartbeat without a report of the held keys', t => {
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

test('a slice is not released by the report of another server incarnation than the one that holds it', t => {
  const bench = createKnownBench();
  const release = () => bench.releaseAll();
  bench.system.shift(LEASE_DURATION_MS);
  bench.sendHeartbeat({sequence: 1});
  release();
  bench.sendHeartbeat({sequence: 2, report: HELD});
  t.is(bench.held.length, 0, 'the server has been told');
  bench.sendHeartbeat({instanceId: 'i-2', startedAtMs: START_MS + 1});
  t.deepEqual(release(), []);
  bench.system.shift(LEASE_MS);
  t.is(release().length, 1);
});

test('a server incarnation first heard after a daemon restart is granted nothing until the grants of the previous process have expired', t => {
  const bench = new Bench();
  bench.previousServers = [createPreviousServer('i-0/1', 3)];
  bench.hasAdoptedSession = true;
  t.is(bench.sendHeartbeat({sequence: 1}), undefined);
  bench.system.shift(LEASE_DURATION_MS - 1);
  t.is(bench.sendHeartbeat({sequence: 2}), undefined);
  bench.system.shift(1);
  t.not(bench.sendHeartbeat({sequence: 3}), undefined);
});

test('heartbeats sent before a daemon restart that arrive after it release no slice', t => {
  const bench = createKnownBench();
  bench.hasAdoptedSession = true;
  const release = () => bench.releaseAll();
  release();
  // The server sent these before the previous daemon process granted it its keys.
  bench.sendHeartbeat({sequence: 1});
  bench.sendHeartbeat({sequence: 2});
  t.deepEqual(release(), []);
  t.is(bench.held.length, 1, 'the server is not told before its reports count');
  bench.system.shift(LEASE_DURATION_MS);
  bench.sendHeartbeat({sequence: 3, report: HELD});
  t.deepEqual(release(), []);
  bench.sendHeartbeat({sequence: 4});
  t.is(release().length, 1);
});

const HELD = {held: [{first: 0, last: 65_535, token: 5}], freed: []};

/** Returns a daemon that already knows the server's incarnation, so that the server gets its keys. */
function createKnownBench(): Bench {
  const bench = new Bench();
  bench.previousServers = [bench.createHeartbeat().info];
  return bench;
}

test('the response to a heartbeat waits for changes, at most half a second', async t => {
  const bench = createKnownBench();
  t.is(await bench.registry.waitForChanges(bench.createHeartbeat()), 0);
  bench.sendHeartbeat();
  const heartbeat = bench.createHeartbeat({report: HELD});
  const silent = bench.registry.waitForChanges(heartbeat);
  bench.system.shift(500);
  t.is(await silent, 500);
  bench.sendHeartbeat({sequence: 2, report: HELD});
  const asked = bench.registry.waitForChanges(heartbeat);
  bench.system.shift(120);
  bench.registry.releaseSlices(SERVICE, ASSIGNMENT.slices, () => {});
  t.is(await asked, 120, 'a requested release is sent at once');
  bench.isExpecting = true;
  const releasing = bench.registry.waitForChanges(heartbeat);
  bench.system.shift(100);
  t.is(await releasing, 0, 'it does not wait for keys that are being moved');
});

test('the response to a heartbeat that grants keys waits briefly for further ones', async t => {
  const bench = createKnownBench();
  bench.sendHeartbeat();
  bench.isExpecting = true;
  const held = [{first: 0, last: 100, token: 5}];
  const report = {held, freed: []};
  const waiting = bench.registry.waitForChanges(
    bench.createHeartbeat({report}),
  );
  bench.system.shift(40);
  bench.isExpecting = false;
  bench.registry.sendGrants();
  t.is(await waiting, 40);
  bench.isExpecting = true;
  const more = bench.registry.waitForChanges(bench.createHeartbeat({report}));
  bench.system.shift(100);
  t.is(await more, 100);
});

test('the response to a heartbeat does not wait if keys were released or a grant must be renewed', async t => {
  const bench = createKnownBench();
  bench.sendHeartbeat();
  const freed = [{first: 0, last: 9, handover: ''}];
  const releasing = bench.createHeartbeat({report: {held: [], freed}});
  t.is(await bench.registry.waitForChanges(releasing), 0);
  const leaving = bench.createHeartbeat({isLeaving: true, report: HELD});
  t.is(await bench.registry.waitForChanges(leaving), 0);
  bench.system.shift(1_400);
  const late = bench.createHeartbeat({report: HELD});
  t.is(await bench.registry.waitForChanges(late), 0);
});
