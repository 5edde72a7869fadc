/**
 * Tests the decisions of the adaptive policy in small scenarios.
 */
import test from 'ava';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {
  ADAPTIVE_OPTIONS,
  type AdaptiveOptions,
} from '../src/adaptive_options.js';
import {AdaptivePolicy} from '../src/adaptive_policy.js';
import type {SlotRequest} from '../src/types.js';

/** Runs a policy in virtual time and records its decisions. */
class PolicyHarness {
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

  /** Sends a request that holds its slot for the given service time. */
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

test('a request that cannot finish before its deadline is refused immediately', t => {
  const harness = new PolicyHarness(1, UNBOUNDED_WAIT);
  harness.send('first', 100);
  harness.send('second', 100, {deadlineAtMs: 300});
  harness.send('third', 100, {deadlineAtMs: 290});
  t.deepEqual(harness.events, ['first runs', 'third DD3012']);
});

test('slots are reserved for short kinds', t => {
  const harness = new PolicyHarness(3);
  const batch = {kind: 'batch'};
  harness.send('read', 4);
  harness.system.runUntil(10);
  harness.send('batch 1', 200, batch);
  harness.send('batch 2', 200, batch);
  harness.send('batch 3', 200, batch);
  harness.send('read 2', 4);
  t.deepEqual(harness.events, [
    'read runs',
    'batch 1 runs',
    'batch 2 runs',
    'read 2 runs',
  ]);
  harness.system.runUntil(300);
  t.is(harness.events[4], 'batch 3 runs');
});

test('a full queue drops the newest request of the lowest priority', t => {
  const harness = new PolicyHarness(1, UNBOUNDED_WAIT, 2);
  harness.send('first', 50);
  const low = {kind: 'low', priority: 1};
  harness.send('low 1', 50, low);
  harness.send('low 2', 50, low);
  harness.send('high', 50, {kind: 'high', priority: 8});
  harness.send('low 3', 50, low);
  t.deepEqual(harness.events, ['first runs', 'low 2 DD3025', 'low 3 DD3011']);
});

test('the total size of waiting requests is limited', t => {
  const harness = new PolicyHarness(1, {
    ...UNBOUNDED_WAIT,
    maxQueuedBytes: 100,
  });
  harness.send('first', 50, {bytes: 90});
  const withdraw = harness.send('second', 50, {bytes: 90});
  harness.send('third', 50, {bytes: 20});
  withdraw();
  withdraw();
  harness.send('fourth', 50, {bytes: 100});
  t.deepEqual(harness.events, ['first runs', 'third DD3011']);
});

test('a caller with many requests does not delay one with few', t => {
  const harness = new PolicyHarness(1, UNBOUNDED_WAIT);
  for (let index = 0; index < 6; index++) harness.send(`many ${index}`, 5);
  harness.send('few', 5, {caller: 'b'});
  harness.system.runUntil(12);
  t.deepEqual(harness.events, ['many 0 runs', 'many 1 runs', 'few runs']);
});

test('new requests are refused while stuck requests hold all slots', t => {
  const harness = new PolicyHarness(2);
  harness.send('usual', 4);
  harness.system.runUntil(100);
  harness.send('stuck 1', 10_000);
  harness.send('stuck 2', 10_000);
  harness.system.runUntil(200);
  for (let index = 0; index < 3; index++) harness.send(`read ${index}`, 4);
  t.deepEqual(harness.events.slice(3), ['read 1 DD3011', 'read 2 DD3011']);
  harness.system.runUntil(300);
  t.is(harness.events[5], 'read 0 DD3025');
});

test('a request may ask for a slot from within a callback', t => {
  const harness = new PolicyHarness(1, UNBOUNDED_WAIT, 1);
  harness.send('first', 10);
  harness.send('waiting', 10);
  harness.send('refused', 10, {
    onRefuse: () => {
      harness.events.push('refused');
      harness.send('again', 10, {kind: 'high', priority: 9});
    },
  });
  harness.system.runUntil(50);
  t.deepEqual(harness.events, [
    'first runs',
    'refused',
    'waiting DD3025',
    'again runs',
  ]);
});
