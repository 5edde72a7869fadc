/**
 * Tests of the witness's side of a lease.
 */
import test from 'ava';

import {DRIFT_MARGIN_MS, LEASE_DURATION_MS} from '../src/constants.js';
import {
  applyEnd,
  applyFence,
  applyHeartbeat,
  hasLapsedWith,
} from '../src/witness.js';

const MEMBER = {host: 'h0', incarnation: 'a'};

function createInstant(ms: number) {
  return {monotonicMs: ms, wallMs: 1_000_000 + ms};
}

test('a vote is granted only after the lease has lapsed, and then for good', t => {
  const lapseMs = LEASE_DURATION_MS + DRIFT_MARGIN_MS;
  const heard = applyHeartbeat(new Map(), MEMBER, createInstant(0)).state;
  t.false(applyFence(heard, MEMBER, createInstant(lapseMs)).isGranted);
  const fenced = applyFence(heard, MEMBER, createInstant(lapseMs + 1));
  t.true(fenced.isGranted);
  const late = createInstant(lapseMs + 2);
  t.false(applyHeartbeat(fenced.state, MEMBER, late).isGranted);
});

test('a member that has ended is refused no matter how late it returns', t => {
  const heard = applyHeartbeat(new Map(), MEMBER, createInstant(0)).state;
  const ended = applyEnd(heard, MEMBER);
  const muchLater = createInstant(86_400_000);
  t.false(applyHeartbeat(ended, MEMBER, muchLater).isGranted);
  const next = {...MEMBER, incarnation: 'b'};
  t.true(applyHeartbeat(ended, next, muchLater).isGranted);
});

test('a restarted witness speaks for the process that it replaced once all leases renewed by that one have lapsed', t => {
  const replaced = {incarnations: ['b', 'a'], endedAt: createInstant(0)};
  const lapseMs = LEASE_DURATION_MS + DRIFT_MARGIN_MS;
  for (const incarnation of replaced.incarnations) {
    t.false(hasLapsedWith(replaced, incarnation, createInstant(lapseMs)));
    t.true(hasLapsedWith(replaced, incarnation, createInstant(lapseMs + 1)));
  }
  t.false(hasLapsedWith(replaced, 'c', createInstant(lapseMs + 1)));
  t.false(hasLapsedWith(undefined, 'a', createInstant(lapseMs + 1)));
});
