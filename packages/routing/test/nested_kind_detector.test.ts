/**
 * Tests how nested requests, which servers send during a run, are distinguished from external requests.
 */
import test from 'ava';

import {NestedKindDetector} from '../src/nested_kind_detector.js';

const HOSTS = [
  ['menu', 5],
  ['orders', 3],
  ['routes', 3],
  ['payments', 3],
] as const;

/** Observes requests from the hosts of services in turn; returns whether the last one was nested. */
function observeFrom(
  kinds: NestedKindDetector,
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

function createKinds(): NestedKindDetector {
  const kinds = new NestedKindDetector(() => new Map(HOSTS));
  // The first classification only registers the services and clears the counts.
  observeFrom(kinds, 'first', ['menu'], 8);
  return kinds;
}

const ALL = HOSTS.flatMap(([service, count]) =>
  Array.from({length: count}, () => service),
);

test('a kind that comes only from the hosts of one service is nested', t => {
  const kinds = createKinds();
  t.false(observeFrom(kinds, 'stock', ['menu'], 40));
  t.true(observeFrom(kinds, 'stock', ['menu'], 60));
});

test('a kind that comes from two of four services is nested', t => {
  t.true(observeFrom(createKinds(), 'stock', ['menu', 'orders'], 100));
});

test('a kind that comes from the hosts of all services is not nested, however many requests come', t => {
  const kinds = createKinds();
  for (let round = 0; round < 50; round++)
    t.false(observeFrom(kinds, 'order', ALL, 100));
});

test('a nested kind that callers begin to send is soon no longer nested', t => {
  const kinds = createKinds();
  t.true(observeFrom(kinds, 'stock', ['menu'], 2_000));
  t.false(observeFrom(kinds, 'stock', ALL, 200));
});

test('a few requests of callers among many do not change a nested kind', t => {
  const kinds = createKinds();
  observeFrom(kinds, 'stock', ALL, 2);
  t.true(
    observeFrom(kinds, 'stock', [...ALL, ...Array(600).fill('menu')], 5_000),
  );
});

test('a new service without requests so far does not make a kind nested', t => {
  const hosts = new Map<string, number>([['menu', 5]]);
  const kinds = new NestedKindDetector(() => hosts);
  observeFrom(kinds, 'check', ['menu'], 600);
  hosts.set('orders', 5);
  t.false(observeFrom(kinds, 'check', ['menu', 'orders'], 200));
});

test('a fleet of one service has no nested kinds', t => {
  const kinds = new NestedKindDetector(() => new Map([['menu', 5]]));
  t.false(observeFrom(kinds, 'check', ['menu'], 600));
});
