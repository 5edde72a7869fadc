/**
 * Tests of the adapter for the platform's store against a fake store.
 */
import anyTest, {type TestFn} from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {createLog} from '@dottereldrift/core/log.js';
import {createNodeSystem} from '@dottereldrift/core/system.js';
import type {AcceptedManifest} from '@dottereldrift/manifest/types.js';
import {CallBudget} from '@dottereldrift/store/call_budget.js';

import {PlatformStore} from '../src/store.js';
import {CONFIGURATION} from './examples.js';
import {FakeStore} from './fake_store.js';

interface Context {
  fake: FakeStore;
  store: PlatformStore;
}

const test = anyTest as TestFn<Context>;
const VALUE = Buffer.from([0, 255, 7]);
const OTHER_VALUE = Buffer.from([8]);
const WAIT_MS = 100;

test.beforeEach(async t => {
  const fake = new FakeStore();
  const address = await fake.start();
  const budget = new CallBudget(createNodeSystem(), 1_000, 1_000);
  const log = createLog('test', 'hidden', 'error');
  t.context = {fake, store: new PlatformStore(address, budget, log)};
});

test.afterEach.always(async t => {
  await t.context.store.close();
  await t.context.fake.stop();
});

function getFailureKind(answer: E.Either<{kind: string}, unknown>) {
  return E.isLeft(answer) ? answer.left.kind : 'none';
}

test('an object is created, read, replaced and found changed', async t => {
  const {store} = t.context;
  const key = 'sessions/h.1';
  const created = await store.updateObject(key, 0, VALUE)();
  t.true(E.isRight(created));
  const version = E.isRight(created) ? created.right : 0;
  const read = await store.getObject(key)();
  t.deepEqual(read, E.right({key, version, value: VALUE}));
  t.is(getFailureKind(await store.updateObject(key, 0, VALUE)()), 'conflict');
  t.deepEqual(
    await store.updateObject(key, version, VALUE)(),
    E.right(version),
    'content that does not change keeps its version',
  );
  t.true(E.isRight(await store.updateObject(key, version, OTHER_VALUE)()));
  const stale = await store.updateObject(key, version, VALUE)();
  t.is(getFailureKind(stale), 'conflict');
  t.deepEqual(await store.getObject('sessions/none')(), E.right(undefined));
});

test('a rejected write is reported as having no effect, a write without a response as unknown', async t => {
  const {fake, store} = t.context;
  for (const status of [429, 503]) {
    fake.nextStatus = status;
    const refused = await store.updateObject('a/b', 0, VALUE)();
    t.is(getFailureKind(refused), 'unavailable');
  }
  fake.isNextResponseLost = true;
  const lost = await store.updateObject('a/b', 0, VALUE)();
  t.is(getFailureKind(lost), 'unknown');
  t.true(E.isRight(await store.getObject('a/b')()));
});

test('a list reads every page, includes the configuration and skips objects of other writers', async t => {
  const {fake, store} = t.context;
  for (const name of ['a/1', 'a/2', 'a/3', 'a/4', 'a/5'])
    await store.updateObject(name, 0, VALUE)();
  fake.put('dottereldrift', 'a.6', 'not ours');
  fake.put('config', 'main', CONFIGURATION);
  const listed = await store.listObjects()();
  const keys = E.isRight(listed)
    ? listed.right.objects.map(object => object.key)
    : [];
  t.deepEqual(keys, ['a/1', 'a/2', 'a/3', 'a/4', 'a/5', 'manifest/accepted']);
});

test('a watch returns values, and a reset when the history is compacted', async t => {
  const {fake, store} = t.context;
  await store.updateObject('a/1', 0, VALUE)();
  const watched = await store.watchObjects('', 0, WAIT_MS)();
  t.deepEqual(
    E.isRight(watched) &&
      watched.right.changes.map(({key, value}) => [key, value]),
    [['a/1', VALUE]],
  );
  fake.compactedTo = 1_000;
  const gone = await store.watchObjects('', 1, WAIT_MS)();
  t.true(E.isRight(gone) && gone.right.isReset);
});

test('an invalid configuration is omitted, and a watch with compacted history reads it again', async t => {
  const {fake, store} = t.context;
  fake.put('config', 'main', {version: 'zz', resources: []});
  const bad = await store.readConfiguration()();
  t.true(E.isRight(bad) && bad.right.accepted === undefined);
  fake.put('config', 'main', CONFIGURATION);
  fake.compactedTo = 1_000;
  const good = await store.watchConfiguration(1, WAIT_MS)();
  const value = E.isRight(good) ? good.right.accepted?.value : undefined;
  const accepted = JSON.parse(
    Buffer.from(value ?? []).toString('utf8'),
  ) as AcceptedManifest;
  t.is(accepted.generation, 7);
});

test('after a call without a response, no call uses a connection opened before', async t => {
  const {fake, store} = t.context;
  const readBoth = () =>
    Promise.all([store.getObject('a/1')(), store.getObject('a/2')()]);
  await readBoth();
  fake.isNextSilent = true;
  t.is(getFailureKind(await store.getObject('a/1')()), 'unavailable');
  const before = new Set(fake.sockets);
  t.is(before.size, 2, 'one idle connection remains');
  t.true((await readBoth()).every(E.isRight));
  t.deepEqual(
    fake.sockets.slice(3).filter(socket => before.has(socket)),
    [],
  );
});

test('reads that may be old say so, and a watch that its caller ends leaves the connections in use', async t => {
  const {fake, store} = t.context;
  await store.listObjects('', 'serializable')();
  await store.watchObjects('', 10, WAIT_MS, {consistency: 'serializable'})();
  await store.watchConfiguration(10, WAIT_MS)();
  t.deepEqual(fake.urls, [
    '/objects/dottereldrift?serializable=1',
    '/objects/config?serializable=1',
    `/objects/dottereldrift?watch=10&wait_ms=${WAIT_MS}&serializable=1`,
    `/objects/config?watch=10&wait_ms=${WAIT_MS}`,
  ]);

  fake.isNextSilent = true;
  const controller = new AbortController();
  const {signal} = controller;
  const watch = store.watchObjects('', 10, 60_000, {signal})();
  const socketsBefore = fake.sockets.length;
  setTimeout(() => controller.abort(), WAIT_MS);
  t.is(getFailureKind(await watch), 'unavailable');
  t.true(E.isRight(await store.getObject('a/b')()));
  t.true(fake.sockets.length > socketsBefore);
});
