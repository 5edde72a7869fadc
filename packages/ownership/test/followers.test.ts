/**
 * Tests of slices whose daemon has restarted, and of those whose server has begun a new life.
 */
import test from 'ava';

import {findKeyPosition, findKeyRange} from '../src/key_range.js';
import {type PlacementInput, planAssignment} from '../src/placement.js';
import {createSlices} from '../src/slices.js';
import type {Assignment} from '../src/types.js';

const EARLIER = {host: 'h1', incarnation: 'a'};
const PRESENT = {host: 'h1', incarnation: 'b'};
const OTHER = {host: 'h2', incarnation: 'a'};

const PRESENT_ASSIGNMENT: Assignment = {
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
  present: PRESENT_ASSIGNMENT,
  eligible: [PRESENT, OTHER],
  isEnded: member => member === EARLIER,
  released: [],
  slicesPerServer: 1,
  profile: undefined,
};

test('the slices of a daemon that started again pass to it with their tokens', t => {
  const next = planAssignment({
    ...INPUT,
    getFollower: member => (member === EARLIER ? PRESENT : undefined),
  });
  t.deepEqual(next?.slices[0]?.owner, PRESENT);
  t.is(next?.slices[0]?.token, 5);
  t.is(next?.slices[0]?.recordsSince, 8, 'its records were lost');
  t.is(next?.slices[1], PRESENT_ASSIGNMENT.slices[1]);
});

test('without a follower the slices of an ended daemon get a new owner and token', t => {
  const next = planAssignment(INPUT);
  t.is(next?.slices[0]?.token, 8);
});

test('slices get new tokens when the server to which they were given is gone', t => {
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

test('keys of a range keep their order on the ring', t => {
  t.is(findKeyPosition('0'), 0);
  t.is(findKeyPosition('65535'), 65_535 * 65_536);
  t.is(findKeyPosition('65536'), undefined);
  t.is(findKeyPosition('-1'), undefined);
  t.is(findKeyPosition('abc'), undefined);
});

test('the slices cover every key once', t => {
  const slices = createSlices(77);
  const ranges = slices.map((_, index) => findKeyRange(slices, index));
  t.is(ranges[0]?.first, 0);
  t.is(ranges[76]?.last, 65_535);
  ranges.forEach((range, index) => {
    if (index > 0) t.is(range?.first, (ranges[index - 1]?.last ?? 0) + 1);
  });
});
