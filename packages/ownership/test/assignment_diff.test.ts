/**
 * Tests that assignment diffs reproduce the later generation and contain only changes.
 */
import test from 'ava';
import fc from 'fast-check';

import {applyDiff, createDiff} from '../src/assignment_diff.js';
import {createSlices, isolatePosition} from '../src/slices.js';
import type {Assignment} from '../src/types.js';
import {createMembers, WRITER} from './fleet_model.js';

const MEMBERS = createMembers(3);

const assignmentArbitrary = fc
  .record({
    count: fc.integer({min: 1, max: 12}),
    splitPositions: fc.array(fc.nat({max: 1_000}), {maxLength: 4}),
    owners: fc.array(fc.integer({min: 0, max: 3}), {minLength: 20}),
  })
  .map(({count, splitPositions, owners}) =>
    splitPositions
      .reduce(isolatePosition, createSlices(count))
      .map((slice, index) => ({
        ...slice,
        owner: MEMBERS[owners[index] ?? 0],
        nextOwner: MEMBERS[owners[index + 1] ?? 3],
        token: index % 3,
      })),
  );

function createAssignment(
  generation: number,
  slices: Assignment['slices'],
): Assignment {
  return {service: 'menu', generation, slices, writer: WRITER};
}

test('a diff turns its base generation into the later one and applies to no other generation', t => {
  fc.assert(
    fc.property(assignmentArbitrary, assignmentArbitrary, (first, second) => {
      const before = createAssignment(4, first);
      const after = createAssignment(7, second);
      const diff = createDiff(before, after);
      t.deepEqual(applyDiff(before, diff), after);
      t.is(applyDiff({...before, generation: 5}, diff), undefined);
      t.is(applyDiff(undefined, diff), undefined);
    }),
    {seed: 11, numRuns: 100},
  );
});

test('a diff contains only changed slices', t => {
  const slices = createSlices(100);
  const before = createAssignment(1, slices);
  const after = createAssignment(
    2,
    slices.map((slice, index) =>
      index === 50 ? {...slice, owner: MEMBERS[0], token: 2} : slice,
    ),
  );
  t.is(createDiff(before, after).changed.slices.length, 1);
});
