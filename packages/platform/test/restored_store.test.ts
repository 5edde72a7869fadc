/**
 * Tests of the adapter against a store that returns to an older copy and gives out revisions again.
 */
import anyTest, {type TestFn} from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {createLog} from '@dottereldrift/core/log.js';
import {createNodeSystem} from '@dottereldrift/core/system.js';
import {CallBudget} from '@dottereldrift/store/call_budget.js';
import type {ObjectVersion, StoreFailure} from '@dottereldrift/store/types.js';
import {
  createVersion,
  formatVersion,
  getEra,
  getRevision,
} from '@dottereldrift/store/version.js';

import {PlatformStore} from '../src/store.js';
import {CONFIGURATION} from './examples.js';
import {FakeStore} from './fake_store.js';

interface Context {
  fake: FakeStore;
  store: PlatformStore;
}

const test = anyTest as TestFn<Context>;
const KEY = 'sessions/h1';
const FIRST_VALUE = Buffer.from('first');
const LOST_VALUE = Buffer.from('lost');
const LATER_VALUE = Buffer.from('later');
const WAIT_MS = 100;
const COPY_AGE_MS = 60;

test.beforeEach(async t => {
  const fake = new FakeStore({hasEra: true});
  const address = await fake.start();
  const budget = new CallBudget(createNodeSystem(), 1_000, 1_000);
  const log = createLog('test', 'hidden', 'error');
  t.context = {fake, store: new PlatformStore(address, budget, log)};
});

test.afterEach.always(async t => {
  await t.context.store.close();
  await t.context.fake.stop();
});

function getRight<T>(answer: E.Either<StoreFailure, T>): T {
  if (E.isLeft(answer)) throw new Error(answer.left.text);
  return answer.right;
}

function getFailureKind(answer: E.Either<StoreFailure, unknown>): string {
  return E.isLeft(answer) ? answer.left.kind : 'none';
}

/** Writes an object, then its next value, which the store loses. Returns both versions. */
async function writeAndLose({
  fake,
  store,
}: Context): Promise<readonly [ObjectVersion, ObjectVersion]> {
  await store.listObjects()();
  const first = getRight(await store.updateObject(KEY, 0, FIRST_VALUE)());
  await new Promise(resolve => setTimeout(resolve, 2 * COPY_AGE_MS));
  const lost = getRight(await store.updateObject(KEY, first, LOST_VALUE)());
  fake.replaceByCopy(COPY_AGE_MS);
  return [first, lost];
}

test('an object written before the store was restored is read at a version of the new era', async t => {
  const [first] = await writeAndLose(t.context);
  const read = getRight(await t.context.store.getObject(KEY)());
  t.deepEqual(read?.value, FIRST_VALUE);
  t.is(read?.origin, createVersion(getEra(first), 0), 'what it replaced');
  t.is(read?.version, createVersion(getEra(first) + 1, getRevision(first)));
});

test('a deletion that was applied to a restored store unnoticed is not reported as done', async t => {
  const [first] = await writeAndLose(t.context);
  const deleted = await t.context.store.deleteObject(KEY, first)();
  t.is(getFailureKind(deleted), 'unknown');
});

test('copies are not read until they have had the time to follow a restoration', async t => {
  const {fake, store} = t.context;
  const list = () => store.listObjects('', 'serializable')();
  getRight(await list());
  fake.replaceByCopy(0);
  getRight(await list());
  const consistencies = fake.urls.map(url => url.includes('serializable'));
  const [first, ...others] = consistencies;
  t.true(first, 'it names the first era, so it is read again');
  t.deepEqual([...new Set(others)], [false]);
});

test('an object written since the store was restored has its own version as origin', async t => {
  const {store} = t.context;
  await writeAndLose(t.context);
  const read = getRight(await store.getObject(KEY)());
  const version = getRight(
    await store.updateObject(KEY, read?.version ?? 0, LATER_VALUE)(),
  );
  const again = getRight(await store.getObject(KEY)());
  t.deepEqual(again, {key: KEY, version, value: LATER_VALUE});
});

test('a conditional write from before the store was restored does not match a revision that was given out again', async t => {
  const {fake, store} = t.context;
  const [, lost] = await writeAndLose(t.context);
  const read = getRight(await store.getObject(KEY)());
  const rewritten = getRight(
    await store.updateObject(KEY, read?.version ?? 0, LATER_VALUE)(),
  );
  t.is(getRevision(rewritten), getRevision(lost));
  const callsBefore = fake.calls.length;
  t.is(
    getFailureKind(await store.updateObject(KEY, lost, LOST_VALUE)()),
    'conflict',
  );
  t.is(getFailureKind(await store.deleteObject(KEY, lost)()), 'conflict');
  t.is(fake.calls.length, callsBefore);
  t.deepEqual(getRight(await store.getObject(KEY)())?.value, LATER_VALUE);
});

test('a write that was applied to a restored store unnoticed is not reported as done', async t => {
  const [first] = await writeAndLose(t.context);
  const written = await t.context.store.updateObject(KEY, first, LATER_VALUE)();
  t.is(getFailureKind(written), 'unknown');
});

test('a watch from before the store was restored is a reset, although its revision was given out again', async t => {
  const {fake, store} = t.context;
  const [, lost] = await writeAndLose(t.context);
  for (let count = 0; count < 5; count += 1) fake.put('notes', 'n', {count});
  const watched = getRight(await store.watchObjects('', lost, WAIT_MS)());
  t.true(watched.isReset);
  const callsBefore = fake.calls.length;
  t.true(getRight(await store.watchObjects('', lost, WAIT_MS)()).isReset);
  t.is(fake.calls.length, callsBefore, 'the era is known now');
  const listed = getRight(await store.listObjects()());
  t.is(formatVersion(listed.revision), `5.${fake.getRevision()}`);
});

test('a watch of the configuration reads it again after the store was restored', async t => {
  const {fake, store} = t.context;
  const [, lost] = await writeAndLose(t.context);
  fake.put('config', 'main', CONFIGURATION);
  const answer = getRight(await store.watchConfiguration(lost, WAIT_MS)());
  t.true(answer.isReset);
  t.is(getEra(answer.accepted?.version ?? 0), 5);
});

test('a response from before the store was restored is void, and a write that it acknowledges unknown', async t => {
  const {store} = t.context;
  const [first] = await writeAndLose(t.context);
  const later = createVersion(getEra(first) + 2, 1);
  t.is(
    getFailureKind(await store.watchObjects('', later, WAIT_MS)()),
    'unavailable',
  );
  t.is(getFailureKind(await store.getObject(KEY)()), 'unavailable');
  t.is(getFailureKind(await store.listObjects()()), 'unavailable');
  const created = await store.updateObject('sessions/h2', 0, FIRST_VALUE)();
  t.is(getFailureKind(created), 'unknown');
});
