/**
 * Simulates short calls of other servers and long work on the slots of one server, and checks that the
 * calls are not starved. Also tests the capacity estimate.
 */
import test from 'ava';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {ADAPTIVE_OPTIONS} from '../src/adaptive_options.js';
import {AdaptivePolicy} from '../src/adaptive_policy.js';
import {CapacityMeter} from '../src/capacity_meter.js';

const SLOTS = 6;
const DEADLINE_MS = 800;
const DURATION_MS = 10_000;

test('a server whose service takes twice as long has half the capacity', t => {
  const fast = new CapacityMeter();
  const slow = new CapacityMeter();
  t.is(fast.getCapacity(SLOTS), undefined);
  for (let request = 0; request < 200; request++) {
    fast.observe(50);
    slow.observe(100);
  }
  t.is(fast.getCapacity(SLOTS), 120);
  t.is(slow.getCapacity(SLOTS), 60);
});

test('calls of other servers are not starved by long work', t => {
  const refusedShare = (isShortFirst: boolean) => {
    const system = new VirtualSystem(() => 0.5);
    const options = {...ADAPTIVE_OPTIONS, isShortFirst};
    const policy = new AdaptivePolicy(system, SLOTS, options, () => 256);
    let sent = 0;
    let served = 0;
    const send = (kind: string, serviceMs: number, limitMs: number) => {
      const endMs = system.getNow().monotonicMs + limitMs;
      if (kind === 'call') sent += 1;
      policy.requestSlot({
        kind,
        priority: 5,
        expectedServiceMs: serviceMs,
        deadlineAtMs: endMs,
        caller: '',
        bytes: 0,
        onRun: finish => {
          system.startTimer(serviceMs, () => {
            const isInTime = system.getNow().monotonicMs <= endMs;
            if (kind === 'call' && isInTime) served += 1;
            finish(true);
          });
        },
        onRefuse: () => {},
      });
    };
    // Calls need a third of the slots, and the long work alone needs all of them.
    for (let atMs = 0; atMs < DURATION_MS; atMs += 7.5)
      system.startTimer(atMs, () => send('call', 15, 60));
    for (let atMs = 0; atMs < DURATION_MS; atMs += 11)
      system.startTimer(atMs, () => send('order', 66, 1_000));
    system.runUntil(DURATION_MS + DEADLINE_MS);
    return 1 - served / sent;
  };
  t.true(refusedShare(true) < 0.01, `${refusedShare(true)}`);
  t.true(refusedShare(true) <= refusedShare(false));
});
