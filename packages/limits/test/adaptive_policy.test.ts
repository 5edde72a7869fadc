/**
 * What the adaptive policy decides in small situations.
 */
import test from 'ava';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {
  ADAPTIVE_OPTIONS,
  type AdaptiveOptions,
} from '../src/adaptive_options.js';
import {AdaptivePolicy} from '../src/adaptive_policy.js';
import type {SlotRequest} from '../src/types.js';

/** A policy in virtual time whose decisions are written down. */
class Bench {
  readonly system = new VirtualSystem(() => 0.5);
  readonly events: string[] = [];
  private readonly policy: AdaptivePolicy;

  constructor(
    slots: number,
    options: Partial<AdaptiveOptions> = {},
    maxQueued = 256,
  ) {
    this.policy = new AdaptivePolicy(
      this.system,
      slots,
      {...ADAPTIVE_OPTIONS, ...options},
      () => maxQueued,
    );
  }

  /** Sends a request that runs for its time once it has a slot. */
  send(name: string, serviceMs: number, changes: Partial<SlotRequest> = {}) {
    return this.policy.requestSlot({
      kind: 'read',
      priority: 5,
      expectedServiceMs: serviceMs,
      deadlineAtMs: this.system.getNow().monotonicMs + 1_000,
      caller: 'a',
      bytes: 0,
      onRun: finish => {
        this.events.push(`${name} runs`);
        this.system.startTimer(serviceMs, () => {
          finish(true);
        });
      },
      onRefuse: ({code}) => this.events.push(`${name} ${code}`),
      ...changes,
    });
  }
}

const UNBOUNDED_WAIT = {waitMultiple: 0, dropMultiple: 0};

test('a request that cannot finish before its deadline is refused at once', t => {
  const bench = new Bench(1, UNBOUNDED_WAIT);
  bench.send('first', 100);
  bench.send('second', 100, {deadlineAtMs: 300});
  bench.send('third', 100, {deadlineAtMs: 290});
  t.deepEqual(bench.events, ['first runs', 'third DD3012']);
});

test('long kinds leave slots to short ones', t => {
  const bench = new Bench(3);
  const batch = {kind: 'batch'};
  bench.send('read', 4);
  bench.system.runUntil(10);
  bench.send('batch 1', 200, batch);
  bench.send('batch 2', 200, batch);
  bench.send('batch 3', 200, batch);
  bench.send('read 2', 4);
  t.deepEqual(bench.events, [
    'read runs',
    'batch 1 runs',
    'batch 2 runs',
    'read 2 runs',
  ]);
  bench.system.runUntil(300);
  t.is(bench.events[4], 'batch 3 runs');
});

test('a full queue drops the newest of the lowest priority', t => {
  const bench = new Bench(1, UNBOUNDED_WAIT, 2);
  bench.send('first', 50);
  const low = {kind: 'low', priority: 1};
  bench.send('low 1', 50, low);
  bench.send('low 2', 50, low);
  bench.send('high', 50, {kind: 'high', priority: 8});
  bench.send('low 3', 50, low);
  t.deepEqual(bench.events, ['first runs', 'low 2 DD3025', 'low 3 DD3011']);
});

test('the bytes of waiting requests are bounded', t => {
  const bench = new Bench(1, {...UNBOUNDED_WAIT, maxQueuedBytes: 100});
  bench.send('first', 50, {bytes: 90});
  const withdraw = bench.send('second', 50, {bytes: 90});
  bench.send('third', 50, {bytes: 20});
  withdraw();
  withdraw();
  bench.send('fourth', 50, {bytes: 100});
  t.deepEqual(bench.events, ['first runs', 'third DD3011']);
});

test('a caller with many requests does not delay one with few', t => {
  const bench = new Bench(1, UNBOUNDED_WAIT);
  for (let index = 0; index < 6; index++) bench.send(`many ${index}`, 5);
  bench.send('few', 5, {caller: 'b'});
  bench.system.runUntil(12);
  t.deepEqual(bench.events, ['many 0 runs', 'many 1 runs', 'few runs']);
});

test('when running requests do not end, new ones are soon refused', t => {
  const bench = new Bench(2);
  bench.send('usual', 4);
  bench.system.runUntil(100);
  bench.send('stuck 1', 10_000);
  bench.send('stuck 2', 10_000);
  bench.system.runUntil(200);
  for (let index = 0; index < 3; index++) bench.send(`read ${index}`, 4);
  t.deepEqual(bench.events.slice(3), ['read 1 DD3011', 'read 2 DD3011']);
  bench.system.runUntil(300);
  t.is(bench.events[5], 'read 0 DD3025');
});

test('a request may ask for a slot from within a callback', t => {
  const bench = new Bench(1, UNBOUNDED_WAIT, 1);
  bench.send('first', 10);
  bench.send('waiting', 10);
  bench.send('refused', 10, {
    onRefuse: () => {
      bench.events.push('refused');
      bench.send('again', 10, {kind: 'high', priority: 9});
    },
  });
  bench.system.runUntil(50);
  t.deepEqual(bench.events, [
    'first runs',
    'refused',
    'waiting DD3025',
    'again runs',
  ]);
});
