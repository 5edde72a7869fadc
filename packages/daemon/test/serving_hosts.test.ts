/**
 * Tests that the list of serving hosts that is kept never outlives what it was read from.
 */
import test from 'ava';

import {createLog} from '@dottereldrift/core/log.js';
import {
  encodeSession,
  getSessionKey,
} from '@dottereldrift/membership/session_record.js';
import type {Session} from '@dottereldrift/membership/types.js';

import {ServingHosts} from '../src/serving_hosts.js';
import {DRAIN_PREFIX, StoreView} from '../src/store_view.js';
import {ManualSystem} from './fakes.js';

const FAR = 4;

function createSession(host: string, change: Partial<Session> = {}): Session {
  return {
    member: {host, incarnation: '1'},
    dataCentre: 'd1',
    region: 'r',
    peerAddress: {ip: '10.0.0.1', port: 1},
    callerPort: 2,
    witnesses: [],
    isEnded: false,
    isLeaving: false,
    servers: [createServer()],
    ...change,
  };
}

function createServer(isLeaving = false, slots = 6) {
  const address = {ip: '10.0.0.1', port: 3};
  return {service: 'rutas', address, slots, connections: 10, isLeaving};
}

class Bench {
  readonly view = new StoreView(
    new ManualSystem(),
    createLog('test', 'hidden', 'error'),
  );
  private readonly hosts = new ServingHosts(this.view, 'a');
  private version = 0;

  constructor() {
    for (const host of ['a', 'b', 'c']) this.put(createSession(host));
  }

  put(session: Session): void {
    const key = getSessionKey(session.member.host);
    this.putValue(key, encodeSession(session));
  }

  putValue(key: string, value: Uint8Array): void {
    this.version += 1;
    this.view.applyObject({key, version: this.version, value});
  }

  remove(key: string): void {
    this.version += 1;
    this.view.removeObject(key, this.version);
  }

  list(distance = 1) {
    return this.hosts.listHosts('rutas', distance);
  }

  listNames(): string {
    return this.list()
      .map(({host}) => host)
      .join(' ');
  }
}

const CHANGES: ReadonlyArray<readonly [string, (bench: Bench) => void]> = [
  [
    'ends',
    bench => {
      bench.put(createSession('b', {isEnded: true}));
    },
  ],
  [
    'is deleted',
    bench => {
      bench.remove(getSessionKey('b'));
    },
  ],
  [
    'leaves',
    bench => {
      bench.put(createSession('b', {isLeaving: true}));
    },
  ],
  [
    'loses its server',
    bench => {
      bench.put(createSession('b', {servers: []}));
    },
  ],
  [
    'has a server that leaves',
    bench => {
      bench.put(createSession('b', {servers: [createServer(true)]}));
    },
  ],
  [
    'drains',
    bench => {
      bench.putValue(`${DRAIN_PREFIX}b`, new Uint8Array());
    },
  ],
];

for (const [change, apply] of CHANGES) {
  test(`a host that ${change} is left out at the next request`, t => {
    const bench = new Bench();
    t.is(bench.listNames(), 'a b c');
    apply(bench);
    t.is(bench.listNames(), 'a c');
  });
}

test('a host serves again after its drain, and a new one from its session on', t => {
  const bench = new Bench();
  bench.putValue(`${DRAIN_PREFIX}b`, new Uint8Array());
  t.is(bench.listNames(), 'a c');
  bench.remove(`${DRAIN_PREFIX}b`);
  t.is(bench.listNames(), 'a b c');
  bench.put(createSession('e'));
  t.is(bench.listNames(), 'a b c e');
});

test('slots, distance and the own data centre are those of the present', t => {
  const bench = new Bench();
  bench.put(createSession('b', {servers: [createServer(false, 3)]}));
  t.is(bench.list()[1]?.slots, 3);
  bench.put(createSession('c', {dataCentre: 'd2'}));
  const listDistances = (distance: number) =>
    bench.list(distance).map(host => host.distance);
  t.deepEqual(listDistances(FAR), [1, 1, FAR]);
  t.deepEqual(listDistances(2), [1, 1, 2]);
  bench.put(createSession('a', {dataCentre: 'd2'}));
  t.deepEqual(listDistances(FAR), [1, FAR, 1]);
});

test('the list is kept while nothing changes', t => {
  const bench = new Bench();
  const before = bench.list(FAR);
  bench.putValue('manifest/submitted', new Uint8Array());
  t.is(bench.list(FAR), before);
});
