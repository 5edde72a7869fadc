/**
 * Tests of the wait after a takeover for servers that do not check fencing tokens.
 */
import test from 'ava';

import {TakeoverWait} from '../src/takeover_wait.js';
import type {Assignment, Slice} from '../src/types.js';

const SELF = {host: 'h1', incarnation: 'a'};
const OTHER = {host: 'h2', incarnation: 'a'};
const MAX_RUN_MS = 1_000;

function createSlice(change: Partial<Slice>): Slice {
  const slice = {start: 0, owner: SELF, token: 1, nextOwner: undefined};
  return {...slice, recordsSince: 0, ...change};
}

function createAssignment(slices: readonly Slice[]): Assignment {
  const generation = Math.max(...slices.map(slice => slice.token));
  return {service: 'menu', generation, slices, writer: SELF};
}

test('a slice that was newly placed or moved by plan is served without a wait', t => {
  const wait = new TakeoverWait();
  const first = createSlice({});
  const moved = createSlice({start: 9, token: 7, recordsSince: 3});
  wait.applyAssignment(createAssignment([first, moved]), SELF, 0);
  t.true(wait.isElapsed(first, MAX_RUN_MS, 0));
  t.true(wait.isElapsed(moved, MAX_RUN_MS, 0));
});

test('a slice that was taken over waits, even if it is split or gets a newer token', t => {
  const wait = new TakeoverWait();
  const taken = createSlice({token: 5, recordsSince: 5});
  wait.applyAssignment(createAssignment([taken]), SELF, 100);
  t.false(wait.isElapsed(taken, MAX_RUN_MS, 1_099));
  const split = createSlice({start: 4, token: 6, recordsSince: 5});
  wait.applyAssignment(createAssignment([taken, split]), SELF, 800);
  t.false(wait.isElapsed(split, MAX_RUN_MS, 1_099));
  t.true(wait.isElapsed(split, MAX_RUN_MS, 1_100));
});

test('a slice that is lost and taken over again starts a new wait', t => {
  const wait = new TakeoverWait();
  const taken = createSlice({token: 5, recordsSince: 5});
  wait.applyAssignment(createAssignment([taken]), SELF, 0);
  const lost = createSlice({owner: OTHER, token: 6, recordsSince: 6});
  wait.applyAssignment(createAssignment([lost]), SELF, 500);
  const again = createSlice({token: 7, recordsSince: 7});
  wait.applyAssignment(createAssignment([again]), SELF, 2_000);
  t.false(wait.isElapsed(again, MAX_RUN_MS, 2_999));
  t.true(wait.isElapsed(again, MAX_RUN_MS, 3_000));
});
