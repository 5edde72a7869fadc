/**
 * Tests the decisions of a coordinator whose view is behind the store. Guards against a coordinator that
 * knows an assignment but not yet the new session of its owner, and would reassign that owner's slices.
 */
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import {createLog} from '@dottereldrift/core/log.js';
import type {Member} from '@dottereldrift/core/types.js';
import {
  encodeSession,
  getSessionKey,
} from '@dottereldrift/membership/session_record.js';
import type {Session} from '@dottereldrift/membership/types.js';
import {
  encodeAssignment,
  getAssignmentKey,
} from '@dottereldrift/ownership/assignment_record.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';
import type {StoredObject, StoreFailure} from '@dottereldrift/store/types.js';

import {AssignmentRecovery} from '../src/assignment_recovery.js';
import {createCounters} from '../src/control_counters.js';
import {Coordinator} from '../src/coordinator.js';
import {LoadTracker} from '../src/load_tracker.js';
import {PlacementPlanner} from '../src/placement_planner.js';
import {ACCEPTED_MANIFEST_KEY, StoreView} from '../src/store_view.js';
import {StoreWatcher} from '../src/store_watcher.js';
import {ManualSystem} from './fakes.js';

const SERVICE = 'menu';
const LOG = createLog('test', 'hidden', 'error');
/** The host that is chosen as coordinator of the service by hash. */
const SELF: Member = {host: 'h3', incarnation: 'a'};
const OTHER: Member = {host: 'h2', incarnation: 'a'};
const RESTARTED: Member = {host: 'h2', incarnation: 'b'};
const RULES = {division: 'byRange', fencing: 'checked', slicesPerServer: 1};
const DECISION_INTERVAL_MS = 600;
const STEP_MS = 20;
const OUTAGE_MS = 7_000;
/** Writes in an outage if the delay doubles from 100 ms to 1 s. */
const MAX_OUTAGE_WRITES = 11;
const UNAVAILABLE: E.Either<StoreFailure, never> = E.left({
  kind: 'unavailable',
  text: 'status 429',
});

function waitForPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function createSession(member: Member, follows: readonly string[]): Session {
  const address = {ip: '127.0.0.1', port: 1};
  return {
    member,
    dataCentre: 'dc1',
    region: 'r1',
    peerAddress: address,
    callerPort: 1,
    witnesses: [],
    servers: [
      {service: SERVICE, address, slots: 6, connections: 10, isLeaving: false},
    ],
    isEnded: false,
    isLeaving: false,
    follows,
  };
}

/** A store that counts the calls of the coordinator and refuses them while it is unavailable. */
class RefusingStore extends MemoryStore {
  isUnavailable = false;
  reads = 0;
  writes = 0;

  override getObject(
    key: string,
  ): TaskEither<StoreFailure, StoredObject | undefined> {
    const read = super.getObject(key);
    return () => {
      this.reads += 1;
      return this.isUnavailable ? Promise.resolve(UNAVAILABLE) : read();
    };
  }

  override updateObject(
    key: string,
    version: number,
    value: Uint8Array,
  ): TaskEither<StoreFailure, number> {
    const update = super.updateObject(key, version, value);
    return () => {
      this.writes += 1;
      return this.isUnavailable ? Promise.resolve(UNAVAILABLE) : update();
    };
  }
}

class Fixture {
  readonly system = new ManualSystem();
  readonly store = new RefusingStore(this.system);
  readonly view = new StoreView(this.system, LOG);
  readonly watcher = new StoreWatcher(this.system, this.store, this.view, LOG);
  readonly peers = {
    getClient: () => {
      throw new Error('no peer is called');
    },
  };
  readonly counters = createCounters();
  readonly recovery = new AssignmentRecovery(
    this.system,
    this.view,
    this.peers,
    () => SELF,
    () => [],
    this.counters,
    LOG,
  );
  readonly coordinator = new Coordinator(
    this.system,
    this.store,
    this.view,
    this.peers,
    () => SELF,
    () => true,
    () => Promise.resolve([]),
    new PlacementPlanner(this.view, new LoadTracker(this.system, 1_000), {
      maxDeviation: 0.2,
      mergeFactor: 2,
    }),
    this.recovery,
    LOG,
  );

  async write(key: string, version: number, value: Uint8Array) {
    const written = await this.store.updateObject(key, version, value)();
    if (E.isLeft(written)) throw new Error(written.left.text);
    return {key, version: written.right, value};
  }

  writeSession(session: Session, version = 0) {
    const key = getSessionKey(session.member.host);
    return this.write(key, version, encodeSession(session));
  }

  async writeManifest(): Promise<void> {
    const manifest = {services: {[SERVICE]: RULES}};
    const accepted = {generation: 1, sourceVersion: 1, manifest};
    const value = Buffer.from(JSON.stringify(accepted));
    await this.write(ACCEPTED_MANIFEST_KEY, 0, value);
  }

  /** Lets the coordinator make one more decision. */
  async runDecision(): Promise<void> {
    this.system.shift(DECISION_INTERVAL_MS);
    for (let pass = 0; pass < 4; pass++) await waitForPromises();
  }

  getOwners() {
    const slices = this.view.getAssignment(SERVICE)?.assignment.slices;
    return slices?.map(({owner, token}) => ({owner, token}));
  }
}

test('a coordinator that knows an assignment but not yet the session of its owner does not reassign its slices', async t => {
  const fixture = new Fixture();
  await fixture.writeManifest();
  await fixture.writeSession(createSession(SELF, []));
  const before = await fixture.writeSession(createSession(OTHER, []));
  await fixture.watcher.tryRefreshView(0);
  const restarted = createSession(RESTARTED, [OTHER.incarnation]);
  await fixture.writeSession(restarted, before.version);
  const slices = createSlices(2).map(slice => ({
    ...slice,
    owner: RESTARTED,
    token: 3,
  }));
  const value = encodeAssignment({
    service: SERVICE,
    generation: 4,
    slices,
    writer: RESTARTED,
  });
  const key = getAssignmentKey(SERVICE);
  fixture.view.applyObject(await fixture.write(key, 0, value));

  void fixture.coordinator.run();
  for (let pass = 0; pass < 4; pass++) await fixture.runDecision();
  const expected = [RESTARTED, RESTARTED].map(owner => ({owner, token: 3}));
  t.deepEqual(fixture.getOwners(), expected);

  await fixture.watcher.tryRefreshView(0);
  await fixture.runDecision();
  t.deepEqual(fixture.getOwners(), expected);
  fixture.coordinator.stop();
});

test('a coordinator that the store turns away retries with a growing delay and does not read what it cannot have changed', async t => {
  const fixture = new Fixture();
  await fixture.writeManifest();
  await fixture.writeSession(createSession(SELF, []));
  await fixture.writeSession(createSession(OTHER, []));
  await fixture.watcher.tryRefreshView(0);
  const {store} = fixture;
  store.isUnavailable = true;
  store.writes = 0;
  store.reads = 0;
  void fixture.coordinator.run();
  for (let passedMs = 0; passedMs < OUTAGE_MS; passedMs += STEP_MS) {
    fixture.system.shift(STEP_MS);
    await waitForPromises();
  }
  t.true(store.writes >= 4, `${store.writes} writes`);
  t.true(store.writes <= MAX_OUTAGE_WRITES, `${store.writes} writes`);
  t.is(store.reads, 0);

  store.isUnavailable = false;
  for (let pass = 0; pass < 4; pass++) await fixture.runDecision();
  t.is(fixture.getOwners()?.length, 2);
  fixture.coordinator.stop();
});
