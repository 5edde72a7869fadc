/**
 * Tests that the cached list of serving hosts is recomputed when its inputs change.
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

const REMOTE_DISTANCE = 4;

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

class Fixture {
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

const CHANGES: ReadonlyArray<readonly [string, (fixture: Fixture) => void]> = [
  [
    'has an ended session',
    fixture => {
      fixture.put(createSession('b', {isEnded: true}));
    },
  ],
  [
    'has a deleted session',
    fixture => {
      fixture.remove(getSessionKey('b'));
    },
  ],
  [
    'is leaving',
    fixture => {
      fixture.put(createSession('b', {isLeaving: true}));
    },
  ],
  [
    'has no backend server',
    fixture => {
      fixture.put(createSession('b', {servers: []}));
    },
  ],
  [
    'has a backend server that is leaving',
    fixture => {
      fixture.put(createSession('b', {servers: [createServer(true)]}));
    },
  ],
  [
    'is draining',
    fixture => {
      fixture.putValue(`${DRAIN_PREFIX}b`, new Uint8Array());
    },
  ],
];

for (const [change, apply] of CHANGES) {
  test(`a host that ${change} is excluded from the next request`, t => {
    const fixture = new Fixture();
    t.is(fixture.listNames(), 'a b c');
    apply(fixture);
    t.is(fixture.listNames(), 'a c');
  });
}

test('a host serves again after its drain ends, and a new host serves once it has a session', t => {
  const fixture = new Fixture();
  fixture.putValue(`${DRAIN_PREFIX}b`, new Uint8Array());
  t.is(fixture.listNames(), 'a c');
  fixture.remove(`${DRAIN_PREFIX}b`);
  t.is(fixture.listNames(), 'a b c');
  fixture.put(createSession('e'));
  t.is(fixture.listNames(), 'a b c e');
});

test('slots, distances and the local data centre are up to date', t => {
  const fixture = new Fixture();
  fixture.put(createSession('b', {servers: [createServer(false, 3)]}));
  t.is(fixture.list()[1]?.slots, 3);
  fixture.put(createSession('c', {dataCentre: 'd2'}));
  const listDistances = (distance: number) =>
    fixture.list(distance).map(host => host.distance);
  t.deepEqual(listDistances(REMOTE_DISTANCE), [1, 1, REMOTE_DISTANCE]);
  t.deepEqual(listDistances(2), [1, 1, 2]);
  fixture.put(createSession('a', {dataCentre: 'd2'}));
  t.deepEqual(listDistances(REMOTE_DISTANCE), [1, REMOTE_DISTANCE, 1]);
});

test('the cached list is returned while nothing relevant changes', t => {
  const fixture = new Fixture();
  const before = fixture.list(REMOTE_DISTANCE);
  fixture.putValue('manifest/submitted', new Uint8Array());
  t.is(fixture.list(REMOTE_DISTANCE), before);
});
