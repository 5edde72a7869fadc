/**
 * Tests the HTTP adapter of the object store against the stand-in: the result that each fault causes.
 */
import {createServer} from 'node:net';

import {createNodeSystem, type System} from '@dottereldrift/core/system.js';
import {CallBudget} from '@dottereldrift/store/call_budget.js';
import {HttpStore} from '@dottereldrift/store/http_store.js';
import {createVersion} from '@dottereldrift/store/version.js';
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {StoreServer} from '../src/store_server.js';

const KEY = 'sessions/host a';

interface StoreFixture {
  readonly server: StoreServer;
  readonly store: HttpStore;
}

async function runWithStore(check: (fixture: StoreFixture) => Promise<void>) {
  const server = new StoreServer();
  const port = await server.listen(0);
  const system = createNodeSystem();
  const budget = new CallBudget(system, 1_000, 1_000);
  const store = new HttpStore(`http://127.0.0.1:${port}`, system, budget);
  try {
    await check({server, store});
  } finally {
    await store.close();
    await server.close();
  }
}

function encodeText(text: string): Uint8Array {
  return new Uint8Array(Buffer.from(text));
}

function getResultKind(
  result: E.Either<{readonly kind: string}, unknown>,
): string {
  return E.isLeft(result) ? result.left.kind : 'done';
}

test('a conditional update takes effect only at the expected version', async t => {
  await runWithStore(async ({store}) => {
    t.deepEqual(
      await store.updateObject(KEY, 0, encodeText('a'))(),
      E.right(1),
    );
    const conflict = await store.updateObject(KEY, 0, encodeText('b'))();
    t.like(conflict, {left: {kind: 'conflict', foundVersion: 1}});
    t.deepEqual(
      await store.updateObject(KEY, 1, encodeText('c'))(),
      E.right(2),
    );
    const read = await store.getObject(KEY)();
    t.like(read, {right: {key: KEY, version: 2}});
    t.deepEqual(await store.getObject('sessions/none')(), E.right(undefined));
  });
});

test('a write whose response is lost is reported as unknown, and the next update reveals its outcome', async t => {
  await runWithStore(async ({server, store}) => {
    server.setFaults({isLosingAnswers: true});
    const lost = await store.updateObject(KEY, 0, encodeText('a'))();
    t.is(getResultKind(lost), 'unknown');
    server.setFaults({isLosingAnswers: false});
    const settled = await store.updateObject(KEY, 0, encodeText('a'))();
    t.like(settled, {left: {kind: 'conflict', foundVersion: 1}});
  });
});

test('calls during an outage are reported as unavailable and have no effect', async t => {
  await runWithStore(async ({server, store}) => {
    server.setFaults({isOut: true});
    const refused = await store.updateObject(KEY, 0, encodeText('a'))();
    t.is(getResultKind(refused), 'unavailable');
    t.is(getResultKind(await store.getObject(KEY)()), 'unavailable');
    server.setFaults({isOut: false});
    t.deepEqual(await store.getObject(KEY)(), E.right(undefined));
  });
});

test('a refused connection is reported as unavailable', async t => {
  const system = createNodeSystem();
  const budget = new CallBudget(system, 1_000, 1_000);
  const store = new HttpStore('http://127.0.0.1:1', system, budget);
  const refused = await store.updateObject(KEY, 0, encodeText('a'))();
  t.is(getResultKind(refused), 'unavailable');
  await store.close();
});

test('a value over the size limit is refused', async t => {
  await runWithStore(async ({store}) => {
    const large = new Uint8Array(1_000_001);
    t.is(getResultKind(await store.updateObject(KEY, 0, large)()), 'refused');
  });
});

test('a watch reports changes after a revision, including deletions', async t => {
  await runWithStore(async ({store}) => {
    const waiting = store.watchObjects('sessions/', 0, 5_000)();
    await store.updateObject('drains/x', 0, encodeText('x'))();
    await store.updateObject(KEY, 0, encodeText('a'))();
    t.deepEqual(
      await waiting,
      E.right({
        revision: 2,
        changes: [{key: KEY, version: 2, isDeleted: false}],
        isReset: false,
      }),
    );
    await store.deleteObject(KEY, 2)();
    const deleted = await store.watchObjects('sessions/', 2, 5_000)();
    t.like(deleted, {right: {changes: [{key: KEY, isDeleted: true}]}});
    const reset = await store.watchObjects('sessions/', 999, 5_000)();
    t.like(reset, {right: {isReset: true}});
  });
});

test('a restored store reports versions of a new era and where objects were written', async t => {
  await runWithStore(async ({server, store}) => {
    await store.updateObject(KEY, 0, encodeText('a'))();
    const copy = server.getStore().createCopy();
    await store.updateObject(KEY, 1, encodeText('lost'))();
    server.getStore().restore(copy);
    const watched = await store.watchObjects('', 2, 5_000)();
    t.like(watched, {right: {isReset: true}});
    const version = createVersion(1, 1);
    const object = {key: KEY, version, origin: 1};
    t.like(await store.getObject(KEY)(), {right: object});
    const listed = await store.listObjects('')();
    t.like(listed, {right: {revision: version, objects: [object]}});
    const late = await store.updateObject(KEY, 1, encodeText('late'))();
    t.like(late, {left: {kind: 'conflict', foundVersion: version}});
    const written = createVersion(1, 2);
    t.deepEqual(
      await store.updateObject(KEY, version, encodeText('b'))(),
      E.right(written),
    );
    const value = encodeText('b');
    const read = await store.getObject(KEY)();
    t.deepEqual(read, E.right({key: KEY, version: written, value}));
  });
});

test('the stand-in returns to a copy when it is told to over HTTP', async t => {
  const server = new StoreServer();
  const port = await server.listen(0);
  const store = server.getStore();
  const sendCommand = (name: string) =>
    fetch(`http://127.0.0.1:${port}/${name}`, {method: 'PUT'});
  await store.updateObject(KEY, 0, encodeText('a'))();
  await sendCommand('copy');
  await store.updateObject(KEY, 1, encodeText('lost'))();
  await sendCommand('restore');
  const version = createVersion(1, 1);
  t.like(await store.getObject(KEY)(), {right: {version, origin: 1}});
  await server.close();
});

test('a response that is not JSON is reported as unavailable instead of thrown', async t => {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n<htm>');
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  const port = typeof address === 'object' ? address?.port : 0;
  const system = createNodeSystem();
  const budget = new CallBudget(system, 1_000, 1_000);
  const store = new HttpStore(`http://127.0.0.1:${port}`, system, budget);
  t.is(getResultKind(await store.listObjects('')()), 'unavailable');
  await store.close();
  server.close();
});

test('an exhausted call budget rejects calls until it refills', t => {
  let nowMs = 0;
  const system: System = {
    ...createNodeSystem(),
    getNow: () => ({monotonicMs: nowMs, wallMs: nowMs}),
  };
  const budget = new CallBudget(system, 10, 2);
  t.deepEqual(
    [budget.tryTake(), budget.tryTake(), budget.tryTake()],
    [true, true, false],
  );
  nowMs = 100;
  t.deepEqual([budget.tryTake(), budget.tryTake()], [true, false]);
});
