/**
 * Tests of the object store's adapter against the stand-in: what each fault looks like from outside.
 */
import {createServer} from 'node:net';

import {createNodeSystem, type System} from '@dottereldrift/core/system.js';
import {CallBudget} from '@dottereldrift/store/call_budget.js';
import {HttpStore} from '@dottereldrift/store/http_store.js';
import test from 'ava';
import * as E from 'fp-ts/lib/Either.js';

import {StoreServer} from '../src/store_server.js';

const KEY = 'sessions/host a';

interface Pair {
  readonly server: StoreServer;
  readonly store: HttpStore;
}

async function runWithStore(check: (pair: Pair) => Promise<void>) {
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

function createBytes(text: string): Uint8Array {
  return new Uint8Array(Buffer.from(text));
}

function getKind(result: E.Either<{readonly kind: string}, unknown>): string {
  return E.isLeft(result) ? result.left.kind : 'done';
}

test('a conditional update takes effect at the expected version only', async t => {
  await runWithStore(async ({store}) => {
    t.deepEqual(
      await store.updateObject(KEY, 0, createBytes('a'))(),
      E.right(1),
    );
    const conflict = await store.updateObject(KEY, 0, createBytes('b'))();
    t.like(conflict, {left: {kind: 'conflict', foundVersion: 1}});
    t.deepEqual(
      await store.updateObject(KEY, 1, createBytes('c'))(),
      E.right(2),
    );
    const read = await store.getObject(KEY)();
    t.like(read, {right: {key: KEY, version: 2}});
    t.deepEqual(await store.getObject('sessions/none')(), E.right(undefined));
  });
});

test('a write whose answer is lost is unknown, and settled by the next update', async t => {
  await runWithStore(async ({server, store}) => {
    server.setFaults({isLosingAnswers: true});
    const lost = await store.updateObject(KEY, 0, createBytes('a'))();
    t.is(getKind(lost), 'unknown');
    server.setFaults({isLosingAnswers: false});
    const settled = await store.updateObject(KEY, 0, createBytes('a'))();
    t.like(settled, {left: {kind: 'conflict', foundVersion: 1}});
  });
});

test('an outage has no effect', async t => {
  await runWithStore(async ({server, store}) => {
    server.setFaults({isOut: true});
    const refused = await store.updateObject(KEY, 0, createBytes('a'))();
    t.is(getKind(refused), 'unavailable');
    t.is(getKind(await store.getObject(KEY)()), 'unavailable');
    server.setFaults({isOut: false});
    t.deepEqual(await store.getObject(KEY)(), E.right(undefined));
  });
});

test('a refused connection has no effect', async t => {
  const system = createNodeSystem();
  const budget = new CallBudget(system, 1_000, 1_000);
  const store = new HttpStore('http://127.0.0.1:1', system, budget);
  const refused = await store.updateObject(KEY, 0, createBytes('a'))();
  t.is(getKind(refused), 'unavailable');
  await store.close();
});

test('a value over the limit is refused', async t => {
  await runWithStore(async ({store}) => {
    const large = new Uint8Array(1_000_001);
    t.is(getKind(await store.updateObject(KEY, 0, large)()), 'refused');
  });
});

test('a watch reports changes after a revision, deletions among them', async t => {
  await runWithStore(async ({store}) => {
    const waiting = store.watchObjects('sessions/', 0, 5_000)();
    await store.updateObject('drains/x', 0, createBytes('x'))();
    await store.updateObject(KEY, 0, createBytes('a'))();
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

test('an answer that is not JSON is a failure, not a defect', async t => {
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
  t.is(getKind(await store.listObjects('')()), 'unavailable');
  await store.close();
  server.close();
});

test('a spent budget stops calls until it has refilled', t => {
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
