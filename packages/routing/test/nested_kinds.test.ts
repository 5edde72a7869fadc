/**
 * Tests of telling requests that servers send within a run from those of callers.
 */
import test from 'ava';

import {NestedKinds} from '../src/nested_kinds.js';

const HOSTS = [
  ['menu', 5],
  ['orders', 3],
  ['routes', 3],
  ['payments', 3],
] as const;

/** Sends requests of a kind from the hosts of services in turn; returns whether the last one counts as nested. */
function observeFrom(
  kinds: NestedKinds,
  kind: string,
  services: readonly string[],
  count: number,
): boolean {
  let isNested = false;
  for (let index = 0; index < count; index++) {
    const service = services[index % services.length] ?? '';
    isNested = kinds.observe(kind, service);
  }
  return isNested;
}

function createKinds(): NestedKinds {
  const kinds = new NestedKinds(() => new Map(HOSTS));
  // The services are new to the first judgement.
  observeFrom(kinds, 'first', ['menu'], 8);
  return kinds;
}

const ALL = HOSTS.flatMap(([service, count]) =>
  Array.from({length: count}, () => service),
);

test('a kind that comes from the hosts of one service only is sent by its servers', t => {
  const kinds = createKinds();
  t.false(observeFrom(kinds, 'stock', ['menu'], 40));
  t.true(observeFrom(kinds, 'stock', ['menu'], 60));
});

test('a kind that two of four services call is sent by their servers', t => {
  t.true(observeFrom(createKinds(), 'stock', ['menu', 'orders'], 100));
});

test('a kind that comes from the hosts of all services is sent by callers, however many come', t => {
  const kinds = createKinds();
  for (let round = 0; round < 50; round++)
    t.false(observeFrom(kinds, 'order', ALL, 100));
});

test('a kind that callers begin to send is new work within its next requests', t => {
  const kinds = createKinds();
  t.true(observeFrom(kinds, 'stock', ['menu'], 2_000));
  t.false(observeFrom(kinds, 'stock', ALL, 200));
});

test('few requests of callers among many do not make a kind theirs', t => {
  const kinds = createKinds();
  observeFrom(kinds, 'stock', ALL, 2);
  t.true(
    observeFrom(kinds, 'stock', [...ALL, ...Array(600).fill('menu')], 5_000),
  );
});

test('the hosts of a service that has just come have sent nothing yet', t => {
  const hosts = new Map<string, number>([['menu', 5]]);
  const kinds = new NestedKinds(() => hosts);
  observeFrom(kinds, 'check', ['menu'], 600);
  hosts.set('orders', 5);
  t.false(observeFrom(kinds, 'check', ['menu', 'orders'], 200));
});

test('a fleet of one service has no nested kinds', t => {
  const kinds = new NestedKinds(() => new Map([['menu', 5]]));
  t.false(observeFrom(kinds, 'check', ['menu'], 600));
});
