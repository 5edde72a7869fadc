/**
 * Tests conditional updates of a daemon that the store turns away while it serves the others.
 */
import {Code, ConnectError} from '@connectrpc/connect';
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {createLog} from '@dottereldrift/core/log.js';
import type {Address} from '@dottereldrift/core/types.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';
import type {StoreFailure} from '@dottereldrift/store/types.js';

import type {PeerClient} from '../src/peer_client.js';
import {encodeUpdateResult, PeerBackedStore} from '../src/peer_backed_store.js';
import {ManualSystem} from './fakes.js';

const LOG = createLog('test', 'hidden', 'error');
const KEY = 'assignments/menu';
const VALUE = Buffer.from('a');
const HELPERS: readonly Address[] = [1, 2, 3].map(port => ({
  ip: '127.0.0.1',
  port,
}));
const REFUSED: StoreFailure = {kind: 'unavailable', text: 'status 429'};
const LOST: StoreFailure = {kind: 'unknown', text: 'no answer'};

/** A store shared by a daemon under test and its helpers, each with faults of its own. */
class Fixture {
  readonly system = new ManualSystem();
  readonly memory = new MemoryStore(this.system);
  /** Failure of the direct updates of the daemon under test. */
  failure: StoreFailure | undefined;
  /** Failure of the direct updates of its helpers. */
  helperFailure: StoreFailure | undefined;
  /** Error of the calls to helpers. */
  peerError: Error | undefined;
  directUpdates = 0;
  helperUpdates = 0;
  readonly asked: number[] = [];
  readonly store = this.createStore(() => {
    this.directUpdates += 1;
    return this.failure;
  });
  private readonly helpers = HELPERS.map(() =>
    this.createStore(() => {
      this.helperUpdates += 1;
      return this.helperFailure;
    }),
  );

  update(version: number) {
    return this.store.updateObject(KEY, version, VALUE)();
  }

  private createStore(takeFailure: () => StoreFailure | undefined) {
    const {memory} = this;
    const direct = {
      getObject: (key: string) => memory.getObject(key),
      listObjects: (prefix: string) => memory.listObjects(prefix),
      deleteObject: (key: string, version: number) =>
        memory.deleteObject(key, version),
      watchObjects: (prefix: string, revision: number, waitMs: number) =>
        memory.watchObjects(prefix, revision, waitMs),
      updateObject:
        (key: string, version: number, value: Uint8Array) => async () => {
          const failure = takeFailure();
          return failure === undefined
            ? memory.updateObject(key, version, value)()
            : E.left(failure);
        },
    };
    return new PeerBackedStore(
      this.system,
      direct,
      {getClient: address => this.createClient(address)},
      () => HELPERS,
      LOG,
    );
  }

  private createClient({port}: Address): PeerClient {
    const updateObject: PeerClient['updateObject'] = async request => {
      this.asked.push(port);
      if (this.peerError !== undefined) throw this.peerError;
      const helper = this.helpers[port - 1];
      const {key = '', expectedVersion = 0n, value = VALUE} = request;
      const result = await helper?.updateDirectly(
        key,
        Number(expectedVersion),
        value as Uint8Array,
      );
      if (result === undefined) throw new Error('no helper');
      const encoded = encodeUpdateResult(result);
      return {
        $typeName: 'dottereldrift.v1.UpdateObjectResponse',
        ...encoded,
      };
    };
    return {updateObject} as unknown as PeerClient;
  }
}

test('an update is made directly while the store serves this daemon', async t => {
  const fixture = new Fixture();
  t.deepEqual(await fixture.update(0), E.right(1));
  t.deepEqual(fixture.asked, []);
});

test('a daemon that the store turns away updates through another one and spares the store', async t => {
  const fixture = new Fixture();
  fixture.failure = REFUSED;
  t.deepEqual(await fixture.update(0), E.right(1));
  t.deepEqual(await fixture.update(1), E.right(2));
  t.deepEqual(await fixture.update(2), E.right(3));
  t.deepEqual(fixture.asked, [1, 1, 1]);
  t.is(fixture.directUpdates, 1);

  const conflict = await fixture.update(2);
  t.true(E.isLeft(conflict) && conflict.left.kind === 'conflict');
  t.is(E.isLeft(conflict) ? conflict.left.foundVersion : 0, 3);

  fixture.failure = undefined;
  fixture.system.shift(1_000);
  t.deepEqual(await fixture.update(3), E.right(4));
  t.is(fixture.directUpdates, 2);
  t.is(fixture.asked.length, 4);
});

test('an update whose answer was lost is not made again through another daemon', async t => {
  const fixture = new Fixture();
  fixture.failure = LOST;
  t.deepEqual(await fixture.update(0), E.left(LOST));
  t.deepEqual(fixture.asked, []);
  // The next update does not wait for the silent store.
  t.deepEqual(await fixture.update(0), E.right(1));
  t.is(fixture.directUpdates, 1);
});

test('in a whole outage neither this daemon nor its helpers flood the store', async t => {
  const fixture = new Fixture();
  fixture.failure = REFUSED;
  fixture.helperFailure = REFUSED;
  for (let attempt = 0; attempt < 100; attempt++) {
    const result = await fixture.update(0);
    t.true(E.isLeft(result) && result.left.kind === 'unavailable');
    fixture.system.shift(100);
  }
  // Pauses of 1, 2, 4 and 8 s in 10 s: four calls of each of the three daemons.
  t.is(fixture.directUpdates, 4);
  t.is(fixture.helperUpdates, 8);
});

test('a call to another daemon that may have had an effect is unknown, a rejected one had none', async t => {
  const fixture = new Fixture();
  fixture.failure = REFUSED;
  const rejections = [Code.Unimplemented, Code.Unauthenticated];
  for (const code of rejections) {
    fixture.peerError = new ConnectError('rejected', code);
    const result = await fixture.update(0);
    t.is(E.isLeft(result) ? result.left.kind : '', 'unavailable');
  }
  const lost = [
    new ConnectError('timeout', Code.DeadlineExceeded),
    new ConnectError('closed', Code.Unavailable),
    new Error('reset'),
  ];
  for (const error of lost) {
    fixture.peerError = error;
    const result = await fixture.update(0);
    t.is(E.isLeft(result) ? result.left.kind : '', 'unknown');
  }
});
