/**
 * Tests the in-memory store, above all its return to a copy: versions, origins, conditional updates and watches.
 */
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {createNodeSystem} from '@dottereldrift/core/system.js';

import {MemoryStore} from '../src/memory_store.js';
import {createVersion} from '../src/version.js';

const KEY = 'sessions/host-1';
const OTHER_KEY = 'sessions/host-2';
const LONG_WAIT_MS = 60_000;

function createStore(): MemoryStore {
  return new MemoryStore(createNodeSystem());
}

function encodeText(text: string): Uint8Array {
  return new Uint8Array(Buffer.from(text));
}

/** Writes an object at its present version. */
async function writeText(store: MemoryStore, key: string, text: string) {
  const read = await store.getObject(key)();
  const expected = E.isRight(read) ? (read.right?.version ?? 0) : 0;
  return store.updateObject(key, expected, encodeText(text))();
}

test('versions of a store that was never restored are plain revisions', async t => {
  const store = createStore();
  t.deepEqual(await writeText(store, KEY, 'a'), E.right(1));
  t.deepEqual(await writeText(store, OTHER_KEY, 'b'), E.right(2));
  t.deepEqual(await store.deleteObject(KEY, 1)(), E.right(3));
  const value = encodeText('b');
  const objects = [{key: OTHER_KEY, version: 2, value}];
  t.deepEqual(await store.listObjects('')(), E.right({revision: 3, objects}));
});

test('a restored store has the objects of the copy, in the next era, with the version at which they were written', async t => {
  const store = createStore();
  await writeText(store, KEY, 'a');
  const copy = store.createCopy();
  await writeText(store, KEY, 'lost');
  await writeText(store, OTHER_KEY, 'lost');
  store.restore(copy);
  const version = createVersion(1, 1);
  const object = {key: KEY, version, value: encodeText('a'), origin: 1};
  t.deepEqual(await store.getObject(KEY)(), E.right(object));
  t.deepEqual(await store.getObject(OTHER_KEY)(), E.right(undefined));
  const listed = {revision: version, objects: [object]};
  t.deepEqual(await store.listObjects('')(), E.right(listed));
});

test('an object that was deleted after the copy exists again', async t => {
  const store = createStore();
  await writeText(store, KEY, 'a');
  const copy = store.createCopy();
  await store.deleteObject(KEY, 1)();
  store.restore(copy);
  t.like(await store.getObject(KEY)(), {right: {origin: 1}});
});

test('a restored store gives out revisions again, as versions of the new era', async t => {
  const store = createStore();
  await writeText(store, KEY, 'a');
  const copy = store.createCopy();
  t.deepEqual(await writeText(store, OTHER_KEY, 'lost'), E.right(2));
  store.restore(copy);
  const version = createVersion(1, 2);
  t.deepEqual(await writeText(store, OTHER_KEY, 'b'), E.right(version));
  const value = encodeText('b');
  const object = {key: OTHER_KEY, version, value};
  t.deepEqual(await store.getObject(OTHER_KEY)(), E.right(object));
});

test('a version of an earlier era matches no update or deletion, although the revision is the same', async t => {
  const store = createStore();
  await writeText(store, KEY, 'a');
  store.restore(store.createCopy());
  const foundVersion = createVersion(1, 1);
  const conflict = {left: {kind: 'conflict', foundVersion}};
  t.like(await store.updateObject(KEY, 1, encodeText('late'))(), conflict);
  t.like(await store.deleteObject(KEY, 1)(), conflict);
  const updated = await store.updateObject(
    KEY,
    foundVersion,
    encodeText('b'),
  )();
  t.deepEqual(updated, E.right(createVersion(1, 2)));
});

test('an object that the copy lacks is created with expected version 0 only', async t => {
  const store = createStore();
  const copy = store.createCopy();
  await writeText(store, KEY, 'lost');
  store.restore(copy);
  const late = await store.updateObject(KEY, 1, encodeText('late'))();
  t.like(late, {left: {kind: 'conflict', foundVersion: 0}});
  const created = await store.updateObject(KEY, 0, encodeText('b'))();
  t.deepEqual(created, E.right(createVersion(1, 1)));
});

test('waiting watches end at once when the store is restored', async t => {
  const store = createStore();
  await writeText(store, KEY, 'a');
  const watched = [
    store.watchObjects('', 1, LONG_WAIT_MS)(),
    store.watchObjects('drains/', 1, LONG_WAIT_MS)(),
  ];
  store.restore(store.createCopy());
  const reset = {revision: createVersion(1, 1), changes: [], isReset: true};
  t.deepEqual(await Promise.all(watched), [E.right(reset), E.right(reset)]);
});

test('a watch after a version of an earlier era or above the present one is reset', async t => {
  const store = createStore();
  await writeText(store, KEY, 'a');
  store.restore(store.createCopy());
  const reset = {right: {changes: [], isReset: true}};
  for (const after of [-1, 0, 1, createVersion(1, 0), createVersion(1, 2)])
    t.like(await store.watchObjects('', after, LONG_WAIT_MS)(), reset);
  await writeText(store, KEY, 'b');
  const after = createVersion(1, 1);
  const version = createVersion(1, 2);
  const changes = [{key: KEY, version, isDeleted: false}];
  t.deepEqual(
    await store.watchObjects('', after, LONG_WAIT_MS)(),
    E.right({revision: version, changes, isReset: false}),
  );
});

test('origins survive further restorations, also to a copy of a state that was lost', async t => {
  const store = createStore();
  await writeText(store, KEY, 'a');
  const first = store.createCopy();
  await writeText(store, KEY, 'lost');
  const lost = store.createCopy();
  store.restore(first);
  await writeText(store, OTHER_KEY, 'b');
  const second = store.createCopy();
  store.restore(second);
  const version = createVersion(2, 2);
  const origin = createVersion(1, 2);
  t.like(await store.getObject(KEY)(), {right: {origin: 1}});
  t.like(await store.getObject(OTHER_KEY)(), {right: {version, origin}});
  store.restore(lost);
  const found = {version: createVersion(3, 2), origin: 2};
  t.like(await store.getObject(KEY)(), {right: found});
  t.deepEqual(await store.getObject(OTHER_KEY)(), E.right(undefined));
});

test('a copy does not change after it was taken', async t => {
  const store = createStore();
  await writeText(store, KEY, 'a');
  const copy = store.createCopy();
  store.restore(copy);
  await writeText(store, KEY, 'b');
  store.restore(copy);
  const value = encodeText('a');
  t.like(await store.getObject(KEY)(), {right: {value, origin: 1}});
});
