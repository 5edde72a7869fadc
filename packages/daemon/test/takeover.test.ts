/**
 * Tests of takeovers and votes when the store was restored from a backup, so that it names earlier witnesses of a
 * member than those that renew its lease, or lacks its end.
 */
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {createLog} from '@dottereldrift/core/log.js';
import type {Address, Member} from '@dottereldrift/core/types.js';
import {
  encodeSession,
  getSessionKey,
  parseSession,
} from '@dottereldrift/membership/session_record.js';
import type {Session} from '@dottereldrift/membership/types.js';

import type {PeerClient, PeerClients} from '../src/peer_client.js';
import {StoreView} from '../src/store_view.js';
import {StoreWatcher} from '../src/store_watcher.js';
import {Takeover} from '../src/takeover.js';
import {WitnessService} from '../src/witness_service.js';
import {ManualSystem} from './fakes.js';
import {type Backup, RestorableStore} from './restorable_store.js';

const LOG = createLog('test', 'hidden', 'error');
const HOLDER = {host: 'holder', incarnation: '1'};
const KEY = getSessionKey(HOLDER.host);
const HOSTS = ['a', 'b', 'c', 'd', 'e'];
const OLD_SET = createSet('a', 'b', 'c');
const NEW_SET = createSet('c', 'd', 'e');
/** Longer than a lease lasts at a witness. */
const LAPSE_MS = 2_200;

function createSet(...hosts: readonly string[]): readonly Member[] {
  return hosts.map(host => ({host, incarnation: '1'}));
}

function createSession(changes: Partial<Session> = {}): Session {
  return {
    member: HOLDER,
    dataCentre: 'dc1',
    region: 'r1',
    peerAddress: {ip: '127.0.0.1', port: 99},
    callerPort: 2,
    witnesses: OLD_SET,
    servers: [],
    isEnded: false,
    isLeaving: false,
    ...changes,
  };
}

function getAddress(host: string): Address {
  return {ip: '127.0.0.1', port: 1 + HOSTS.indexOf(host)};
}

/** The parts of a daemon that vote and take over. */
class Witness {
  readonly view: StoreView;
  readonly watcher: StoreWatcher;
  readonly takeover: Takeover;
  readonly service: WitnessService;

  constructor(host: string, system: ManualSystem, fleet: WitnessFleet) {
    const self = {host, incarnation: '1'};
    this.view = new StoreView(system, LOG);
    this.watcher = new StoreWatcher(system, fleet.store, this.view, LOG);
    this.takeover = new Takeover(
      fleet.store,
      this.view,
      fleet.peers,
      () => self,
      (target, asked, origin) =>
        this.service.voteOnFence(target, asked, origin),
      LOG,
    );
    this.service = new WitnessService(
      system,
      () => self,
      () => undefined,
      this.view,
      {
        open: () => Promise.resolve(),
        sendHeartbeat: () => {},
        sendAnswer: () => {},
        sendStopNotice: () => {},
        close: () => {},
      },
      this.takeover,
      LOG,
    );
  }

  /** Reads what is new in the store. */
  async refresh(): Promise<void> {
    await this.watcher.tryRefreshView(0);
  }

  receiveHeartbeat(): void {
    this.service.receiveHeartbeat(HOLDER, 1, getAddress('a'));
  }
}

class WitnessFleet {
  readonly system = new ManualSystem();
  readonly store = new RestorableStore();
  /** Origins of the sessions named in the fence requests that were sent. */
  readonly origins: bigint[] = [];
  readonly peers = {
    getClient: ({port}: Address) =>
      ({
        fence: ({target, witness, sessionOrigin}) => {
          this.origins.push(sessionOrigin ?? 0n);
          const voter = this.get(HOSTS[port - 1] ?? '');
          const granted = voter.service.voteOnFence(
            target as Member,
            witness as Member,
            Number(sessionOrigin),
          );
          return Promise.resolve({granted});
        },
      }) as PeerClient,
  } as PeerClients;
  readonly witnesses = new Map(
    HOSTS.map(host => [host, new Witness(host, this.system, this)]),
  );

  /** Replaces a witness by one that knows nothing yet. */
  restart(host: string): Witness {
    const witness = new Witness(host, this.system, this);
    this.witnesses.set(host, witness);
    return witness;
  }

  get(host: string): Witness {
    const witness = this.witnesses.get(host);
    if (witness === undefined) throw new Error(`Unknown witness ${host}.`);
    return witness;
  }

  /** Writes the session, and those of the witnesses, which their views need for the addresses. */
  async start(): Promise<void> {
    for (const host of HOSTS)
      await this.write(
        createSession({
          member: {host, incarnation: '1'},
          peerAddress: getAddress(host),
          witnesses: [],
        }),
      );
    await this.write(createSession());
    await this.refresh();
  }

  async write(session: Session): Promise<void> {
    const key = getSessionKey(session.member.host);
    const read = await this.store.getObject(key)();
    const found = E.isRight(read) ? (read.right?.version ?? 0) : 0;
    const value = encodeSession(session);
    const written = await this.store.updateObject(key, found, value)();
    if (E.isLeft(written)) throw new Error(written.left.text);
  }

  async refresh(hosts: readonly string[] = HOSTS): Promise<void> {
    for (const host of hosts) await this.get(host).refresh();
  }

  async resetStore(backup: Backup): Promise<void> {
    this.store.reset(backup);
    await this.refresh();
  }

  async readStored(): Promise<Session | undefined> {
    const read = await this.store.getObject(KEY)();
    return E.isRight(read) && read.right !== undefined
      ? parseSession(read.right.value)
      : undefined;
  }

  /** Lets the leases lapse and each witness check them for a while. */
  async checkLeases(ms = 1_000): Promise<void> {
    for (const {service} of this.witnesses.values()) service.start();
    for (let passed = 0; passed < ms; passed += 100) {
      this.system.shift(100);
      for (let turn = 0; turn < 5; turn++)
        await new Promise(resolve => setImmediate(resolve));
    }
    for (const {service} of this.witnesses.values()) service.stop();
  }
}

/** A fleet whose store has returned from the new witness set of the holder to the old one. */
async function createRestoredFleet(): Promise<WitnessFleet> {
  const fleet = new WitnessFleet();
  await fleet.start();
  const backup = fleet.store.getBackup();
  await fleet.write(createSession({witnesses: NEW_SET}));
  await fleet.refresh();
  fleet.system.shift(LAPSE_MS);
  await fleet.resetStore(backup);
  return fleet;
}

test('the witnesses of a session that the restored store has lost keep the member from being taken over', async t => {
  const fleet = await createRestoredFleet();
  for (const host of ['c', 'd', 'e']) fleet.get(host).receiveHeartbeat();
  t.false(await fleet.get('a').takeover.tryEndMember(HOLDER));
  t.false((await fleet.readStored())?.isEnded);
});

test('a daemon that knows only the older session of the restored store gets no votes of witnesses that know a newer one', async t => {
  const fleet = await createRestoredFleet();
  const asker = fleet.restart('a');
  await asker.refresh();
  fleet.get('c').receiveHeartbeat();
  t.false(await asker.takeover.tryEndMember(HOLDER));
  t.false((await fleet.readStored())?.isEnded);
});

test('a member whose newest session the store has lost is taken over by the votes of that session', async t => {
  const fleet = await createRestoredFleet();
  t.true(await fleet.get('d').takeover.tryEndMember(HOLDER));
  t.like(await fleet.readStored(), {isEnded: true, witnesses: NEW_SET});
});

test('a member that the restored store lacks is taken over by daemons that remember it', async t => {
  const fleet = new WitnessFleet();
  const empty = fleet.store.getBackup();
  await fleet.start();
  await fleet.resetStore(empty);
  fleet.system.shift(LAPSE_MS);
  t.true(await fleet.get('a').takeover.tryEndMember(HOLDER));
  t.like(await fleet.readStored(), {member: HOLDER, isEnded: true});
});

test('an asker that cannot know the newest session does not block the takeover: the witness that refuses starts it', async t => {
  const fleet = await createRestoredFleet();
  for (const host of ['a', 'd', 'e']) await fleet.restart(host).refresh();
  const asker = fleet.get('a');
  t.false(await asker.takeover.tryEndMember(HOLDER));
  fleet.system.shift(LAPSE_MS);
  t.false(await asker.takeover.tryEndMember(HOLDER));
  for (let turn = 0; turn < 10; turn++)
    await new Promise(resolve => setImmediate(resolve));
  t.like(await fleet.readStored(), {isEnded: true, witnesses: NEW_SET});
});

test('without a restoration an asker gets its votes also if it knew an older session, because it reads the newest', async t => {
  const fleet = new WitnessFleet();
  await fleet.start();
  await fleet.write(createSession({witnesses: NEW_SET}));
  await fleet.refresh(['b', 'c', 'd', 'e']);
  fleet.system.shift(LAPSE_MS);
  t.true(await fleet.get('a').takeover.tryEndMember(HOLDER));
  t.true((await fleet.readStored())?.isEnded);
});

test('a request that names no session is answered as before', async t => {
  const fleet = await createRestoredFleet();
  const [witness] = OLD_SET;
  if (witness === undefined) return t.fail();
  t.true(fleet.get('a').service.voteOnFence(HOLDER, witness));
  t.true(fleet.get('a').service.voteOnFence(HOLDER, witness, 0));
});

test('the newest session that the asker knows is named in its requests', async t => {
  const fleet = await createRestoredFleet();
  await fleet.get('d').takeover.tryEndMember(HOLDER);
  const newest = fleet.get('e').view.getSession(HOLDER.host);
  t.is(newest?.session.isEnded, false);
  t.deepEqual(
    new Set(fleet.origins),
    new Set([BigInt(newest?.origin ?? newest?.version ?? 0)]),
  );
});

test('an end that the restored store lacks is written again by a witness, without votes', async t => {
  const fleet = new WitnessFleet();
  await fleet.start();
  fleet.get('a').receiveHeartbeat();
  const backup = fleet.store.getBackup();
  await fleet.write(createSession({isEnded: true}));
  await fleet.refresh();
  await fleet.resetStore(backup);
  t.false((await fleet.readStored())?.isEnded);
  await fleet.checkLeases();
  t.true((await fleet.readStored())?.isEnded);
  t.is(fleet.origins.length, 0);
});

test('an end that the restored store has is looked up once by each witness and not written again', async t => {
  const fleet = new WitnessFleet();
  await fleet.start();
  fleet.get('a').receiveHeartbeat();
  await fleet.write(createSession({isEnded: true}));
  await fleet.refresh();
  await fleet.resetStore(fleet.store.getBackup());
  const before = fleet.store.updates.length;
  let reads = 0;
  const getObject = fleet.store.getObject.bind(fleet.store);
  fleet.store.getObject = key => {
    reads += key === KEY ? 1 : 0;
    return getObject(key);
  };
  await fleet.checkLeases(3_000);
  t.is(fleet.store.updates.length, before);
  t.is(reads, 1);
});

test('a member that was ended stays ended for those who remember, though it writes its session in a store that lacks the end', async t => {
  const fleet = new WitnessFleet();
  await fleet.start();
  fleet.get('a').receiveHeartbeat();
  const backup = fleet.store.getBackup();
  await fleet.write(createSession({isEnded: true}));
  await fleet.refresh();
  fleet.store.reset(backup);
  await fleet.write(createSession({isLeaving: true}));
  await fleet.refresh();
  t.true(fleet.get('a').view.getSession(HOLDER.host)?.session.isEnded);
  await fleet.checkLeases();
  t.true((await fleet.readStored())?.isEnded);
});

test('an operator ends a host by the session that is remembered if the restored store lacks it', async t => {
  const fleet = new WitnessFleet();
  const empty = fleet.store.getBackup();
  await fleet.start();
  await fleet.resetStore(empty);
  t.deepEqual(await fleet.get('a').takeover.forceEnd(HOLDER.host), HOLDER);
  t.like(await fleet.readStored(), {member: HOLDER, isEnded: true});
});
