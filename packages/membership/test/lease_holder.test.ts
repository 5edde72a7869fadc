/**
 * Tests of the holder's side of a lease: majorities, expiry, disagreeing clocks and fencing.
 */
import test from 'ava';

import {
  CLOCK_DIFFERENCE_LIMIT_MS,
  DRIFT_MARGIN_MS,
  LEASE_DURATION_MS,
} from '../src/constants.js';
import {
  applyAnswer,
  createLeaseState,
  dropUnreliableAnswers,
  findUnreliableAnswer,
  isPermanentlyFenced,
  isLeaseHeld,
  type LeaseState,
  setWitnessSets,
} from '../src/lease_holder.js';

const SELF = {host: 'h0', incarnation: 'a'};
const WITNESSES = ['h1', 'h2', 'h3'].map(host => ({host, incarnation: 'a'}));
const [FIRST, SECOND, THIRD] = WITNESSES as [
  typeof SELF,
  typeof SELF,
  typeof SELF,
];

function createInstant(ms: number) {
  return {monotonicMs: ms, wallMs: 1_000_000 + ms};
}

function createHeldState(): LeaseState {
  const state = createLeaseState(SELF, WITNESSES);
  const once = applyAnswer(state, FIRST, createInstant(0), false);
  return applyAnswer(once, SECOND, createInstant(0), false);
}

test('a lease requires a majority of the witnesses', t => {
  const state = createLeaseState(SELF, WITNESSES);
  const once = applyAnswer(state, FIRST, createInstant(0), false);
  t.false(isLeaseHeld(once, createInstant(1)));
  t.true(isLeaseHeld(createHeldState(), createInstant(1)));
});

test('a lease ends the drift margin before its duration, by either clock', t => {
  const usableMs = LEASE_DURATION_MS - DRIFT_MARGIN_MS;
  const state = createHeldState();
  t.true(isLeaseHeld(state, createInstant(usableMs - 1)));
  t.false(isLeaseHeld(state, createInstant(usableMs)));
  const suspended = {monotonicMs: 1, wallMs: 1_000_000 + usableMs};
  t.false(isLeaseHeld(state, suspended));
});

test('an answer no longer counts once the clocks disagree on the elapsed time', t => {
  const state = createHeldState();
  for (const sign of [-1, 1]) {
    const differenceMs = sign * CLOCK_DIFFERENCE_LIMIT_MS;
    const within = {monotonicMs: 1, wallMs: 1_000_001 + differenceMs};
    t.is(findUnreliableAnswer(state, within), undefined);
    t.true(isLeaseHeld(dropUnreliableAnswers(state, within), within));
    const beyond = {...within, wallMs: within.wallMs + sign};
    t.deepEqual(findUnreliableAnswer(state, beyond), createInstant(0));
    const left = dropUnreliableAnswers(state, beyond);
    t.false(isLeaseHeld(left, beyond));
    t.false(isLeaseHeld(left, createInstant(1)));
  }
});

test('answers continue to count if the clocks agree on the time since their heartbeats', t => {
  const once = applyAnswer(createHeldState(), FIRST, createInstant(9), false);
  const late = {monotonicMs: 9, wallMs: 2_000_000};
  const state = applyAnswer(once, THIRD, late, false);
  const left = dropUnreliableAnswers(state, createInstant(10));
  t.deepEqual([...left.acknowledgedSentAt.keys()], ['h1#a', 'h2#a']);
});

test('two active witness sets each require a majority', t => {
  const next = [{host: 'h4', incarnation: 'a'}];
  const changing = setWitnessSets(createHeldState(), [WITNESSES, next]);
  t.false(isLeaseHeld(changing, createInstant(1)));
  const settled = setWitnessSets(changing, [WITNESSES]);
  t.true(isLeaseHeld(settled, createInstant(1)));
});

test('a member fenced by a majority never holds its lease again', t => {
  const once = applyAnswer(createHeldState(), FIRST, createInstant(0), true);
  t.false(isPermanentlyFenced(once));
  t.false(isLeaseHeld(once, createInstant(1)));
  const twice = applyAnswer(once, THIRD, createInstant(0), true);
  t.true(isPermanentlyFenced(twice));
  const late = applyAnswer(twice, THIRD, createInstant(5), false);
  t.false(isLeaseHeld(late, createInstant(6)));
});
