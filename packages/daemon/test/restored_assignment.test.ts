/**
 * Tests assignments after the store was restored from a backup that lacks the last writes. Guards against a coordinator
 * that places slices by the backup, against tokens that a server has seen before, and against a daemon that grants its
 * server what belongs to another one by now.
 */
import {create} from '@bufbuild/protobuf';
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';
import type {TaskEither} from 'fp-ts/lib/TaskEither.js';

import {createLog} from '@dottereldrift/core/log.js';
import {isSameMember} from '@dottereldrift/core/member.js';
import type {Address, Member} from '@dottereldrift/core/types.js';
import {
  encodeSession,
  getSessionKey,
} from '@dottereldrift/membership/session_record.js';
import type {Session} from '@dottereldrift/membership/types.js';
import {
  encodeAssignment,
  getAssignmentKey,
} from '@dottereldrift/ownership/assignment_record.js';
import {getFirstGeneration} from '@dottereldrift/ownership/assignment_recovery.js';
import {createSlices} from '@dottereldrift/ownership/slices.js';
import type {
  Assignment,
  Slice,
  SliceRef,
} from '@dottereldrift/ownership/types.js';
import {DescribeAssignmentResponseSchema} from '@dottereldrift/rpc/gen/dottereldrift/v1/peer_pb.js';
import type {
  ListResult,
  ObjectStore,
  ObjectVersion,
  StoredObject,
  StoreFailure,
  WatchResult,
} from '@dottereldrift/store/types.js';
import {createVersion, getEra} from '@dottereldrift/store/version.js';

import {
  AssignmentRecovery,
  encodeDescription,
  RECOVERY_WAITS,
} from '../src/assignment_recovery.js';
import {createCounters} from '../src/control_counters.js';
import {Coordinator} from '../src/coordinator.js';
import {LoadTracker} from '../src/load_tracker.js';
import {Owner, type LeaseView, type ServerView} from '../src/owner.js';
import type {PeerClient, PeerClients} from '../src/peer_client.js';
import {PlacementPlanner} from '../src/placement_planner.js';
import type {Limits} from '../src/settings.js';
import {
  ACCEPTED_MANIFEST_KEY,
  MANIFEST_STATUS_KEY,
  StoreView,
  SUBMITTED_MANIFEST_KEY,
} from '../src/store_view.js';
import {StoreWatcher} from '../src/store_watcher.js';
import {ManualSystem} from './fakes.js';

const SERVICE = 'menu';
const KEY = getAssignmentKey(SERVICE);
const LOG = createLog('test', 'hidden', 'error');
/** The host that is chosen as coordinator of the service by hash. */
const SELF: Member = {host: 'h3', incarnation: 'a'};
const OTHER: Member = {host: 'h2', incarnation: 'a'};
const RULES = {division: 'byRange', fencing: 'checked', slicesPerServer: 1};
const STEP_MS = 100;
const CONFLICT: StoreFailure = {kind: 'conflict', text: 'another version'};

interface FakeObject {
  readonly revision: number;
  readonly writtenEra: number;
  readonly value: Uint8Array;
}

/** A copy of all objects, as a backup contains them. */
interface Backup {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, FakeObject>;
}

/** A store that can be restored from a backup of its own and then gives out revisions a second time. */
class RestorableStore implements ObjectStore {
  writes = 0;
  private era = 0;
  private revision = 0;
  private objects = new Map<string, FakeObject>();

  createBackup(): Backup {
    return {revision: this.revision, objects: new Map(this.objects)};
  }

  replaceByBackup({revision, objects}: Backup): void {
    this.era += 1;
    this.revision = revision;
    this.objects = new Map(objects);
  }

  /** Lets a write that was sent before the store was restored take effect now. */
  applyLateWrite(key: string, value: Uint8Array): void {
    this.revision += 1;
    const {revision, era} = this;
    this.objects.set(key, {revision, writtenEra: era - 1, value});
  }

  getObject(key: string): TaskEither<StoreFailure, StoredObject | undefined> {
    return () => Promise.resolve(E.right(this.findObject(key)));
  }

  listObjects(): TaskEither<StoreFailure, ListResult> {
    return () => {
      const keys = [...this.objects.keys()];
      const objects = keys.flatMap(key => this.findObject(key) ?? []);
      return Promise.resolve(E.right({revision: this.getRevision(), objects}));
    };
  }

  updateObject(
    key: string,
    expectedVersion: ObjectVersion,
    value: Uint8Array,
  ): TaskEither<StoreFailure, ObjectVersion> {
    return () => {
      this.writes += 1;
      const found = this.findObject(key)?.version ?? 0;
      if (found !== expectedVersion)
        return Promise.resolve(E.left<StoreFailure>(CONFLICT));
      this.revision += 1;
      const {revision, era} = this;
      this.objects.set(key, {revision, writtenEra: era, value});
      return Promise.resolve(E.right(createVersion(era, revision)));
    };
  }

  deleteObject(): TaskEither<StoreFailure, ObjectVersion> {
    return () => Promise.resolve(E.left(CONFLICT));
  }

  /** Answers at once; every change requires reading all objects again. */
  watchObjects(
    _prefix: string,
    afterRevision: ObjectVersion,
  ): TaskEither<StoreFailure, WatchResult> {
    return () => {
      const revision = this.getRevision();
      const isReset = afterRevision !== revision;
      return Promise.resolve(E.right({revision, changes: [], isReset}));
    };
  }

  private getRevision(): ObjectVersion {
    return createVersion(this.era, this.revision);
  }

  private findObject(key: string): StoredObject | undefined {
    const object = this.objects.get(key);
    if (object === undefined) return undefined;
    const {revision, writtenEra, value} = object;
    const version = createVersion(this.era, revision);
    return {
      key,
      version,
      ...(writtenEra < this.era
        ? {origin: createVersion(writtenEra, revision)}
        : {}),
      value,
    };
  }
}

/** The view of one daemon, and the recovery that answers for it. */
class Daemon {
  readonly view: StoreView;
  readonly watcher: StoreWatcher;
  readonly counters = createCounters();
  readonly recovery: AssignmentRecovery;
  released: readonly SliceRef[] = [];
  isReachable = true;
  /** Number of questions that this daemon was asked. */
  questions = 0;

  constructor(
    readonly member: Member,
    readonly system: ManualSystem,
    readonly store: RestorableStore,
    readonly peers: PeerClients,
  ) {
    this.view = new StoreView(system, LOG);
    this.watcher = new StoreWatcher(system, store, this.view, LOG);
    this.recovery = new AssignmentRecovery(
      system,
      this.view,
      peers,
      () => member,
      () => this.released,
      this.counters,
      LOG,
    );
  }

  createCoordinator(): Coordinator {
    return new Coordinator(
      this.system,
      this.store,
      this.view,
      this.peers,
      () => this.member,
      () => true,
      () => Promise.resolve([]),
      new PlacementPlanner(this.view, new LoadTracker(this.system, 1_000), {
        maxDeviation: 0.2,
        mergeFactor: 2,
      }),
      this.recovery,
      LOG,
    );
  }

  getAssignment(): Assignment | undefined {
    return this.view.getAssignment(SERVICE)?.assignment;
  }

  getSlices() {
    return this.getAssignment()?.slices.map(({owner, token}) => ({
      owner,
      token,
    }));
  }
}

function createAddress({host}: Member): Address {
  return {ip: host, port: 1};
}

function createSession(member: Member): Session {
  const address = createAddress(member);
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
    follows: [],
  };
}

/** Creates two slices with their owners and tokens. */
function createPair(
  owners: readonly Member[],
  tokens: readonly number[],
): readonly Slice[] {
  return createSlices(owners.length).map((slice, index) => ({
    ...slice,
    owner: owners[index],
    token: tokens[index] ?? 0,
  }));
}

function waitForPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

class Fleet {
  readonly system = new ManualSystem();
  readonly store = new RestorableStore();
  private readonly daemons = new Map<string, Daemon>();
  private readonly peers: PeerClients = {
    getClient: ({ip}) => this.createClient(ip),
  };
  private coordinator: Coordinator | undefined;

  /** Starts a daemon in place of the one on its host. */
  startDaemon(member: Member): Daemon {
    const daemon = new Daemon(member, this.system, this.store, this.peers);
    this.daemons.set(member.host, daemon);
    return daemon;
  }

  startCoordinator(daemon: Daemon): void {
    this.coordinator = daemon.createCoordinator();
    void this.coordinator.run();
  }

  stop(): void {
    this.coordinator?.stop();
  }

  async write(key: string, value: Uint8Array): Promise<void> {
    const read = await this.store.getObject(key)();
    const version = E.isRight(read) ? (read.right?.version ?? 0) : 0;
    const written = await this.store.updateObject(key, version, value)();
    if (E.isLeft(written)) throw new Error(written.left.text);
  }

  writeSession(session: Session): Promise<void> {
    return this.write(
      getSessionKey(session.member.host),
      encodeSession(session),
    );
  }

  writeAssignment(generation: number, slices: readonly Slice[]): Promise<void> {
    const assignment = {service: SERVICE, generation, slices, writer: OTHER};
    return this.write(KEY, encodeAssignment(assignment));
  }

  async writeFleet(members: readonly Member[]): Promise<void> {
    const manifest = {services: {[SERVICE]: RULES}};
    const accepted = {generation: 1, sourceVersion: 1, manifest};
    await this.write(
      ACCEPTED_MANIFEST_KEY,
      Buffer.from(JSON.stringify(accepted)),
    );
    for (const member of members)
      await this.writeSession(createSession(member));
  }

  async refreshViews(): Promise<void> {
    for (const {watcher} of this.daemons.values())
      await watcher.tryRefreshView(0);
  }

  async run(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.system.shift(STEP_MS);
      for (let pass = 0; pass < 6; pass++) await waitForPromises();
    }
  }

  /** Returns the assignment in the store. */
  async readAssignment(): Promise<StoredObject | undefined> {
    const read = await this.store.getObject(KEY)();
    return E.isRight(read) ? read.right : undefined;
  }

  private createClient(host: string): PeerClient {
    const describeAssignment = ({service}: {readonly service: string}) => {
      const daemon = this.daemons.get(host);
      if (daemon?.isReachable !== true)
        return Promise.reject(new Error('unreachable'));
      daemon.questions += 1;
      const description = daemon.recovery.readOwnAssignment(service);
      const message = encodeDescription(service, description);
      return Promise.resolve(create(DescribeAssignmentResponseSchema, message));
    };
    return {describeAssignment} as unknown as PeerClient;
  }
}

/** Returns whether the assignment was written since the store was restored last. */
async function isWrittenAgain(fleet: Fleet): Promise<boolean> {
  const object = await fleet.readAssignment();
  return object !== undefined && object.origin === undefined;
}

test('no daemon is asked while the store was never restored', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  const self = fleet.startDaemon(SELF);
  const other = fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.startCoordinator(self);
  await fleet.run(3_000);
  t.is(self.getAssignment()?.slices.length, 2);
  t.is(self.getAssignment()?.generation, 1);
  t.is(other.questions, 0);
  t.is(self.counters.assignmentRecoveries, 0);
  fleet.stop();
});

test('a coordinator without memory does not place by a backup but by what another daemon remembers', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  await fleet.writeAssignment(10, createPair([OTHER, OTHER], [3, 4]));
  const backup = fleet.store.createBackup();
  // In the lost seconds, a slice moves from one server to the other.
  await fleet.writeAssignment(12, createPair([SELF, OTHER], [12, 4]));
  const other = fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.store.replaceByBackup(backup);
  const restarted = fleet.startDaemon(SELF);
  await fleet.refreshViews();
  t.is(restarted.getAssignment()?.generation, 10);
  other.isReachable = false;
  fleet.startCoordinator(restarted);
  await fleet.run(1_000);
  t.false(await isWrittenAgain(fleet), 'placed before the answer');

  other.isReachable = true;
  await fleet.run(RECOVERY_WAITS.lostGrantsMs);
  t.true(await isWrittenAgain(fleet));
  const generation = restarted.getAssignment()?.generation ?? 0;
  t.true(generation > 12);
  // The restarted daemon does not know what its predecessor has released.
  t.deepEqual(restarted.getSlices(), [
    {owner: SELF, token: generation},
    {owner: OTHER, token: 4},
  ]);
  t.is(other.questions, 1);
  t.is(restarted.counters.assignmentRecoveries, 1);
  fleet.stop();
});

test('a coordinator that remembers writes its assignment again at once, and does not give a moved slice to its earlier owner', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  await fleet.writeAssignment(10, createPair([OTHER, OTHER], [3, 4]));
  const backup = fleet.store.createBackup();
  await fleet.writeAssignment(12, createPair([SELF, OTHER], [12, 4]));
  const self = fleet.startDaemon(SELF);
  const other = fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.store.replaceByBackup(backup);
  await fleet.refreshViews();
  fleet.startCoordinator(self);
  await fleet.run(500);
  t.true(await isWrittenAgain(fleet));
  await fleet.refreshViews();
  const expected = [
    {owner: SELF, token: 12},
    {owner: OTHER, token: 4},
  ];
  t.deepEqual(self.getSlices(), expected);
  t.deepEqual(other.getSlices(), expected);
  t.true((other.getAssignment()?.generation ?? 0) >= getFirstGeneration(1));
  fleet.stop();
});

test('an assignment that the restored store lacks is written again as a new object', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  const backup = fleet.store.createBackup();
  await fleet.writeAssignment(1, createPair([SELF, OTHER], [1, 1]));
  const self = fleet.startDaemon(SELF);
  fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.store.replaceByBackup(backup);
  await fleet.refreshViews();
  fleet.startCoordinator(self);
  await fleet.run(500);
  t.true(await isWrittenAgain(fleet));
  t.deepEqual(
    self.getSlices()?.map(({token}) => token),
    [1, 1],
  );
  fleet.stop();
});

test('a coordinator without memory asks before the first placement, although the restored store has no assignment', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  const backup = fleet.store.createBackup();
  await fleet.writeAssignment(7, createPair([OTHER, OTHER], [6, 7]));
  fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.store.replaceByBackup(backup);
  const restarted = fleet.startDaemon(SELF);
  // The other daemon has not seen the return of the store yet.
  await restarted.watcher.tryRefreshView(0);
  t.is(restarted.getAssignment(), undefined);
  fleet.store.writes = 0;
  fleet.startCoordinator(restarted);
  await fleet.run(RECOVERY_WAITS.lostGrantsMs + 500);
  t.true(await isWrittenAgain(fleet));
  t.is(fleet.store.writes, 1);
  t.deepEqual(restarted.getSlices(), [
    {owner: OTHER, token: 6},
    {owner: OTHER, token: 7},
  ]);
  fleet.stop();
});

test('if no daemon remembers, slices get new tokens once every grant has ended', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  await fleet.writeAssignment(10, createPair([OTHER, OTHER], [3, 4]));
  const backup = fleet.store.createBackup();
  await fleet.writeAssignment(12, createPair([SELF, OTHER], [12, 4]));
  fleet.store.replaceByBackup(backup);
  const self = fleet.startDaemon(SELF);
  fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.startCoordinator(self);
  await fleet.run(RECOVERY_WAITS.lostGrantsMs - 200);
  t.false(await isWrittenAgain(fleet), 'written while grants may be in force');
  await fleet.run(1_000);
  t.true(await isWrittenAgain(fleet));
  const tokens = self.getSlices()?.map(({token}) => token) ?? [];
  t.is(tokens.length, 2);
  t.true(tokens.every(token => token >= getFirstGeneration(1)));
  fleet.stop();
});

test('if no daemon knows an assignment, the first tokens exceed those of an assignment that may have been lost', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  const backup = fleet.store.createBackup();
  await fleet.writeAssignment(30, createPair([SELF, OTHER], [29, 30]));
  fleet.store.replaceByBackup(backup);
  const self = fleet.startDaemon(SELF);
  fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.startCoordinator(self);
  await fleet.run(RECOVERY_WAITS.lostGrantsMs - 200);
  t.is(await fleet.readAssignment(), undefined);
  await fleet.run(1_000);
  const tokens = self.getSlices()?.map(({token}) => token) ?? [];
  t.is(tokens.length, 2);
  t.true(tokens.every(token => token > getFirstGeneration(1)));
  fleet.stop();
});

test('a live daemon that does not answer delays the recovery for a limited time', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  await fleet.writeAssignment(10, createPair([SELF, OTHER], [3, 4]));
  const backup = fleet.store.createBackup();
  const self = fleet.startDaemon(SELF);
  const other = fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.store.replaceByBackup(backup);
  await fleet.refreshViews();
  other.isReachable = false;
  fleet.startCoordinator(self);
  await fleet.run(RECOVERY_WAITS.unansweredMs - 200);
  t.false(await isWrittenAgain(fleet));
  await fleet.run(1_000);
  t.true(await isWrittenAgain(fleet));
  // The slice of the other one may have moved by an assignment that only that one knows.
  const generation = self.getAssignment()?.generation ?? 0;
  t.deepEqual(
    self.getSlices()?.map(({token}) => token),
    [3, generation],
  );
  fleet.stop();
});

test('a daemon whose session has ended is not waited for', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  await fleet.writeAssignment(10, createPair([SELF, OTHER], [3, 4]));
  const backup = fleet.store.createBackup();
  const self = fleet.startDaemon(SELF);
  await fleet.refreshViews();
  fleet.store.replaceByBackup(backup);
  await fleet.refreshViews();
  fleet.startCoordinator(self);
  await fleet.run(500);
  t.false(await isWrittenAgain(fleet));
  await fleet.writeSession({...createSession(OTHER), isEnded: true});
  await fleet.refreshViews();
  await fleet.run(700);
  t.true(await isWrittenAgain(fleet));
  fleet.stop();
});

test('a session that was read from a backup does not prove that a later run of its host has ended', async t => {
  const fleet = new Fleet();
  const later: Member = {...OTHER, incarnation: 'b'};
  await fleet.writeFleet([SELF, OTHER]);
  await fleet.writeAssignment(10, createPair([OTHER, OTHER], [3, 4]));
  const backup = fleet.store.createBackup();
  await fleet.writeSession(createSession(later));
  await fleet.writeAssignment(11, createPair([later, later], [3, 4]));
  const other = fleet.startDaemon(later);
  await fleet.refreshViews();
  fleet.store.replaceByBackup(backup);
  const restarted = fleet.startDaemon(SELF);
  await fleet.refreshViews();
  fleet.startCoordinator(restarted);
  await fleet.run(RECOVERY_WAITS.lostGrantsMs + 500);
  t.true(other.questions > 0);
  t.true(await isWrittenAgain(fleet));
  await fleet.refreshViews();
  await fleet.run(2_000);
  const owners = restarted.getSlices()?.map(({owner}) => owner) ?? [];
  t.is(owners.length, 2);
  t.true(
    owners.every(owner => owner !== undefined && isSameMember(owner, later)),
  );
  fleet.stop();
});

test('two restorations in a row keep the tokens of the holders and raise the generation each time', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  await fleet.writeAssignment(10, createPair([SELF, OTHER], [3, 4]));
  const backup = fleet.store.createBackup();
  const self = fleet.startDaemon(SELF);
  fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.startCoordinator(self);
  const generations: number[] = [];
  for (let era = 1; era <= 2; era++) {
    fleet.store.replaceByBackup(backup);
    await fleet.refreshViews();
    await fleet.run(700);
    t.true(await isWrittenAgain(fleet));
    generations.push(self.getAssignment()?.generation ?? 0);
  }
  t.deepEqual(
    self.getSlices()?.map(({token}) => token),
    [3, 4],
  );
  const [first = 0, second = 0] = generations;
  t.true(second > first && first >= getFirstGeneration(1));
  fleet.stop();
});

test('a write of an earlier era that takes effect after the recovery is replaced, and its tokens are not used', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  await fleet.writeAssignment(10, createPair([SELF, OTHER], [3, 4]));
  const backup = fleet.store.createBackup();
  const self = fleet.startDaemon(SELF);
  fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.startCoordinator(self);
  fleet.store.replaceByBackup(backup);
  await fleet.refreshViews();
  await fleet.run(700);
  const recovered = self.getAssignment()?.generation ?? 0;
  const slices = createPair([OTHER, OTHER], [11, 4]);
  const late = {service: SERVICE, generation: 11, slices, writer: OTHER};
  fleet.store.applyLateWrite(KEY, encodeAssignment(late));
  await fleet.refreshViews();
  t.false(await isWrittenAgain(fleet));
  await fleet.run(700);
  t.true(await isWrittenAgain(fleet));
  t.true((self.getAssignment()?.generation ?? 0) > recovered);
  t.deepEqual(self.getSlices(), [
    {owner: SELF, token: 3},
    {owner: OTHER, token: 4},
  ]);
  fleet.stop();
});

test('a configuration that the restored store lacks is written again without a loop of conflicts', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF]);
  await fleet.writeAssignment(1, createPair([SELF, SELF], [1, 1]));
  const self = fleet.startDaemon(SELF);
  await fleet.refreshViews();
  fleet.store.replaceByBackup({revision: 2, objects: new Map()});
  await fleet.writeSession(createSession(SELF));
  const kinds = [{name: 'read', idempotent: true, deadlineMs: 500}];
  const manifest = {services: {[SERVICE]: {division: 'byKey', kinds}}};
  await fleet.write(
    SUBMITTED_MANIFEST_KEY,
    Buffer.from(JSON.stringify(manifest)),
  );
  await fleet.refreshViews();
  fleet.store.writes = 0;
  fleet.startCoordinator(self);
  await fleet.run(3_000);
  const accepted = await fleet.store.getObject(ACCEPTED_MANIFEST_KEY)();
  const status = await fleet.store.getObject(MANIFEST_STATUS_KEY)();
  t.true(E.isRight(accepted) && accepted.right !== undefined);
  t.true(E.isRight(status) && status.right !== undefined);
  t.is(self.view.getManifest()?.generation, 2);
  t.true(fleet.store.writes <= 8, `${fleet.store.writes} writes`);
  fleet.stop();
});

test('a restarted daemon grants nothing by an assignment of the backup, and does once it is confirmed', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  await fleet.writeAssignment(10, createPair([OTHER, SELF], [3, 4]));
  const backup = fleet.store.createBackup();
  await fleet.writeAssignment(12, createPair([SELF, SELF], [12, 4]));
  const self = fleet.startDaemon(SELF);
  await fleet.refreshViews();
  fleet.store.replaceByBackup(backup);
  const restarted = fleet.startDaemon(OTHER);
  const owner = new Owner(
    fleet.system,
    {isHeld: () => true, getMember: () => OTHER} as unknown as LeaseView,
    {} as unknown as ServerView,
    {idempotencyEntries: 1, idempotencyBytes: 1} as unknown as Limits,
  );
  restarted.view.addListener(() => {
    for (const {assignment} of restarted.view.getGrantableAssignments())
      owner.applyAssignment(assignment);
  });
  await fleet.refreshViews();
  t.is(restarted.getSlices()?.[0]?.owner?.host, OTHER.host);
  t.deepEqual(owner.getHeldSlices(SERVICE), []);
  t.false(owner.mayGrant(SERVICE, () => undefined));
  t.true(restarted.view.isUncertain(restarted.view.getAssignment(SERVICE)));

  fleet.startCoordinator(self);
  await fleet.run(RECOVERY_WAITS.lostGrantsMs + 500);
  await fleet.refreshViews();
  t.true(owner.mayGrant(SERVICE, () => undefined));
  t.deepEqual(owner.getHeldSlices(SERVICE), [], 'the slice has moved away');
  t.true((owner.getAssignment(SERVICE)?.generation ?? 0) > 12);
  fleet.stop();
});

test('a server that started while the assignment is uncertain is not granted tokens that its predecessor may have had', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF]);
  const backup = fleet.store.createBackup();
  await fleet.writeAssignment(1, createPair([SELF, SELF], [1, 1]));
  const before = fleet.startDaemon(SELF);
  await fleet.refreshViews();
  t.is(before.recovery.getHighestLostToken(SERVICE), 0);
  fleet.store.replaceByBackup(backup);
  await fleet.refreshViews();
  t.is(before.recovery.getHighestLostToken(SERVICE), 0);
  const restarted = fleet.startDaemon(SELF);
  await fleet.refreshViews();
  const highest = restarted.recovery.getHighestLostToken(SERVICE);
  t.is(highest, getFirstGeneration(1) - 1);
  fleet.startCoordinator(restarted);
  await fleet.run(RECOVERY_WAITS.lostGrantsMs + 2_000);
  const tokens = restarted.getSlices()?.map(({token}) => token) ?? [];
  t.true(tokens.length > 0 && tokens.every(token => token > highest));
  t.is(restarted.recovery.getHighestLostToken(SERVICE), 0);
  fleet.stop();
});

test('an assignment told by a daemon that is behind is not granted by', async t => {
  const fleet = new Fleet();
  await fleet.writeFleet([SELF, OTHER]);
  const backup = fleet.store.createBackup();
  await fleet.writeAssignment(1, createPair([SELF, OTHER], [1, 1]));
  const behind = fleet.startDaemon(OTHER);
  await fleet.refreshViews();
  fleet.store.replaceByBackup(backup);
  const restarted = fleet.startDaemon(SELF);
  await restarted.watcher.tryRefreshView(0);
  const object = behind.view.getObject(KEY);
  if (object === undefined) throw new Error('the assignment is missing');
  t.is(getEra(object.version), 0);
  restarted.view.applyObject(object);
  t.deepEqual(restarted.view.getGrantableAssignments(), []);
  t.true(restarted.recovery.isNeeded(SERVICE));
});
