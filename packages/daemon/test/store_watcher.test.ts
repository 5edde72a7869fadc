/**
 * Tests reads of single objects that other daemons report as newer.
 */
import test from 'ava';

import {createLog} from '@dottereldrift/core/log.js';
import {MemoryStore} from '@dottereldrift/store/memory_store.js';

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
  const watcher = new StoreWatcher(store, view, LOG);
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
  const watcher = new StoreWatcher(store, view, LOG);
  await store.updateObject(KEY, 0, MANIFEST)();
  await watcher.refreshObject(KEY);
  view.removeUnlisted([], 10);
  t.deepEqual(view.listKeys(), [KEY]);
});
