/**
 * Tests of the slices of restarted daemons, of slices whose server has a new incarnation, and of key ranges.
 */
import test from 'ava';

import {findKeyPosition, findKeyRange} from '../src/key_range.js';
import {type PlacementInput, planAssignment} from '../src/placement.js';
import {createSlices} from '../src/slices.js';
import type {Assignment} from '../src/types.js';

const EARLIER = {host: 'h1', incarnation: 'a'};
const CURRENT = {host: 'h1', incarnation: 'b'};
const OTHER = {host: 'h2', incarnation: 'a'};

const CURRENT_ASSIGNMENT: Assignment = {
  service: 'menu',
  generation: 7,
  writer: OTHER,
  slices: createSlices(2).map((slice, index) => ({
    ...slice,
    owner: index === 0 ? EARLIER : OTHER,
    token: 5,
  })),
};

const INPUT: PlacementInput = {
  service: 'menu',
  writer: OTHER,
  present: CURRENT_ASSIGNMENT,
  eligible: [CURRENT, OTHER],
  isEnded: member => member === EARLIER,
  released: [],
  slicesPerServer: 1,
  profile: undefined,
};

test('a restarted daemon inherits the slices of its host with their tokens', t => {
  const next = planAssignment({
    ...INPUT,
    getSuccessor: member => (member === EARLIER ? CURRENT : undefined),
  });
  t.deepEqual(next?.slices[0]?.owner, CURRENT);
  t.is(next?.slices[0]?.token, 5);
  t.is(
    next?.slices[0]?.recordsSince,
    8,
    'the earlier daemon lost its idempotency records',
  );
  t.is(next?.slices[1], CURRENT_ASSIGNMENT.slices[1]);
});

test('without a successor the slices of an ended daemon get a new owner and token', t => {
  const next = planAssignment(INPUT);
  t.is(next?.slices[0]?.token, 8);
});

test('slices get new tokens when the server that received the old ones is gone', t => {
  const next = planAssignment({
    ...INPUT,
    isEnded: () => false,
    eligible: [EARLIER, OTHER],
    getVoidToken: member => (member === OTHER ? 5 : 4),
  });
  t.deepEqual(
    next?.slices.map(slice => slice.token),
    [5, 8],
  );
  t.deepEqual(next?.slices[1]?.owner, OTHER);
});

test('range keys keep their order on the ring and invalid keys have no position', t => {
  t.is(findKeyPosition('0'), 0);
  t.is(findKeyPosition('65535'), 65_535 * 65_536);
  t.is(findKeyPosition('65536'), undefined);
  t.is(findKeyPosition('-1'), undefined);
  t.is(findKeyPosition('abc'), undefined);
});

test('every key belongs to exactly one slice', t => {
  const slices = createSlices(77);
  const ranges = slices.map((_, index) => findKeyRange(slices, index));
  t.is(ranges[0]?.first, 0);
  t.is(ranges[76]?.last, 65_535);
  ranges.forEach((range, index) => {
    if (index > 0) t.is(range?.first, (ranges[index - 1]?.last ?? 0) + 1);
  });
});
