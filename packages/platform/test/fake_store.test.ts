/**
 * Tests of the fake store's returns from older copies.
 */
import test from 'ava';

import {FakeStore} from './fake_store.js';
import {waitFor} from './store_drill.js';

const KIND = 'notes';
const PAUSE_MS = 50;

/** Calls the store; returns the status, the era and the body of its response. */
async function call(url: string, init?: RequestInit) {
  const response = await fetch(url, init);
  const era = response.headers.get('store-era');
  const body = (await response.json()) as {store_revision?: number};
  return {status: response.status, era, revision: body.store_revision};
}

async function startStore(hasEra: boolean) {
  const store = new FakeStore({hasEra});
  store.isWaitingForChanges = true;
  const {ip, port} = await store.start();
  return {store, base: `http://${ip}:${port}/objects`};
}

test('after a return from an older copy revisions go back, and a watch from one that is gone gets 410', async t => {
  const {store, base} = await startStore(true);
  t.teardown(() => store.stop());
  const kept = store.put(KIND, 'a', 1);
  await waitFor(PAUSE_MS);
  const copiedAtMs = performance.now();
  await waitFor(PAUSE_MS);
  const lost = store.put(KIND, 'a', 2);
  const waiting = call(`${base}/${KIND}?watch=${lost}&wait_ms=9000`);
  waiting.catch(() => {});
  await waitFor(PAUSE_MS);
  const copyAgeMs = performance.now() - copiedAtMs;
  await store.stopServing();
  await t.throwsAsync(waiting);
  await t.throwsAsync(call(`${base}/${KIND}`));
  store.replaceByCopy(copyAgeMs);
  await store.startServing();
  const list = await call(`${base}/${KIND}`);
  t.like(list, {status: 200, era: '5', revision: kept});
  const gone = await call(`${base}/${KIND}?watch=${lost}&wait_ms=0`);
  t.like(gone, {status: 410, era: '5'});
  t.is(store.put(KIND, 'a', 3), lost, 'the revision is given out again');
  const empty = await call(`${base}/${KIND}?watch=${lost}&wait_ms=1`);
  t.like(empty, {status: 200, era: '5', revision: lost});
});

test('refusals name the era, and a store without eras names none', async t => {
  const {store, base} = await startStore(true);
  t.teardown(() => store.stop());
  for (const status of [429, 503]) {
    store.nextStatus = status;
    t.like(await call(`${base}/${KIND}`), {status, era: '4'});
  }
  store.put(KIND, 'a', 1);
  const init = {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({metadata: {name: 'a', rev: 1}, spec: 2}),
  };
  t.like(await call(`${base}/${KIND}/a`, init), {status: 409, era: '4'});
  const plain = await startStore(false);
  t.teardown(() => plain.store.stop());
  t.like(await call(`${plain.base}/${KIND}`), {status: 200, era: null});
});
