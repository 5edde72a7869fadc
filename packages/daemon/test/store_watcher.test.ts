/**
 * Tests reads of single objects that other daemons report as newer, and of the whole store after it has dropped its
 * history.
 */
import test from 'ava';
import * as TE from 'fp-ts/lib/TaskEither.js';

import {createLog} from '@dottereldrift/core/log.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';
import type {
  ListResult,
  ObjectStore,
  ReadConsistency,
  WatchOptions,
  WatchResult,
} from '@dottereldrift/store/types.js';

import {ACCEPTED_MANIFEST_KEY, StoreView} from '../src/store_view.js';
import {StoreWatcher} from '../src/store_watcher.js';
import {ManualSystem} from './fakes.js';

const LOG = createLog('test', 'hidden', 'error');
const KEY = ACCEPTED_MANIFEST_KEY;
const MANIFEST = Buffer.from(
  JSON.stringify({
    generation: 1,
    sourceVersion: 1,
    manifest: {services: {}},
  }),
);

test('after an error while an object was applied, the object is read again', async t => {
  const system = new ManualSystem();
  const store = new MemoryStore(system);
  const view = new StoreView(system, LOG);
  const watcher = new StoreWatcher(system, store, view, LOG);
  let mustFail = true;
  view.addListener(() => {
    if (mustFail) throw new Error('a listener fails');
  });
  await store.updateObject(KEY, 0, MANIFEST)();
  await t.notThrowsAsync(watcher.refreshObject(KEY));
  mustFail = false;
  await store.updateObject(KEY, 1, MANIFEST)();
  await watcher.refreshObject(KEY);
  t.is(view.getKnownVersion(KEY), 2);
});

test('the configuration is kept although a listing does not have it', async t => {
  const system = new ManualSystem();
  const store = new MemoryStore(system);
  const view = new StoreView(system, LOG);
  const watcher = new StoreWatcher(system, store, view, LOG);
  await store.updateObject(KEY, 0, MANIFEST)();
  await watcher.refreshObject(KEY);
  view.removeUnlisted([], 10);
  t.deepEqual(view.listKeys(), [KEY]);
});

/** A store without history whose copies, which answer serializable reads, are behind. */
class LaggingStore {
  readonly calls: string[] = [];

  constructor(
    private readonly revision: number,
    private readonly copiedRevision: number,
    /** Revision from which the store still has its history. */
    private readonly firstRevision: number,
  ) {}

  listObjects(_prefix: string, consistency?: ReadConsistency) {
    this.calls.push(`list ${consistency}`);
    const revision = this.getRevision(consistency);
    return TE.right<never, ListResult>({revision, objects: []});
  }

  watchObjects(
    _prefix: string,
    afterRevision: number,
    _waitMs: number,
    {consistency}: WatchOptions = {},
  ) {
    this.calls.push(`watch ${afterRevision} ${consistency}`);
    return TE.right<never, WatchResult>({
      revision: this.getRevision(consistency),
      changes: [],
      isReset: afterRevision < this.firstRevision,
    });
  }

  private getRevision(consistency?: ReadConsistency): number {
    return consistency === 'serializable' ? this.copiedRevision : this.revision;
  }
}

function createLaggingFixture(firstRevision: number) {
  const system = new ManualSystem();
  const store = new LaggingStore(9, 5, firstRevision);
  const view = new StoreView(system, LOG);
  view.setRevision(7);
  const objects = store as unknown as ObjectStore;
  const watcher = new StoreWatcher(system, objects, view, LOG);
  return {system, store, view, watcher};
}

test('a view does not stand still behind old copies after the store has dropped its history', async t => {
  const {store, view, watcher} = createLaggingFixture(9);
  t.true(await watcher.tryRefreshView(0));
  t.is(view.getRevision(), 9);
  t.true(await watcher.tryRefreshView(0));
  t.deepEqual(store.calls, [
    'watch 7 serializable',
    'list linearizable',
    'watch 9 linearizable',
  ]);
});

test('copies of the store are read again some time after it has dropped its history', async t => {
  const {system, store, watcher} = createLaggingFixture(9);
  await watcher.tryRefreshView(0);
  system.shift(60_000);
  await watcher.tryRefreshView(0);
  t.is(store.calls[store.calls.length - 1], 'watch 9 serializable');
});

test('a store that keeps dropping its history is not read again without a delay', async t => {
  const {watcher} = createLaggingFixture(100);
  t.true(await watcher.tryRefreshView(0));
  t.false(await watcher.tryRefreshView(0));
});
