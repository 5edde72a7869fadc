/**
 * Tests of releases while slices are split or merged: an owner never serves a slice that it has released.
 */
import test from 'ava';

import {SliceGate} from '../src/slice_gate.js';
import {isolatePosition} from '../src/slices.js';
import type {Assignment, Slice} from '../src/types.js';

const SELF = {host: 'h1', incarnation: 'a'};
const WHOLE: Slice = {
  start: 0,
  owner: SELF,
  token: 1,
  nextOwner: undefined,
  recordsSince: 0,
};
const HOT_POSITION = 700;

function createAssignment(
  generation: number,
  slices: readonly Slice[],
): Assignment {
  return {service: 'menu', generation, slices, writer: SELF};
}

test('a slice that the owner still knows as part of a larger one is not released', t => {
  const gate = new SliceGate(SELF);
  gate.applyAssignment(createAssignment(1, [WHOLE]));
  const end = gate.startRequest(HOT_POSITION);
  const ref = {start: HOT_POSITION, token: 1};
  t.deepEqual(gate.releaseSlices([ref]), []);
  t.is(gate.checkPosition(HOT_POSITION).kind, 'owned');
  gate.applyAssignment(
    createAssignment(2, isolatePosition([WHOLE], HOT_POSITION)),
  );
  t.deepEqual(gate.releaseSlices([ref]), [], 'a request is still running');
  end();
  t.deepEqual(gate.releaseSlices([ref]), [ref]);
  t.is(gate.checkPosition(HOT_POSITION).kind, 'moving');
  t.is(gate.checkPosition(HOT_POSITION + 1).kind, 'owned');
});

test('the release of a part does not apply to the merged slice', t => {
  const gate = new SliceGate(SELF);
  const parts = isolatePosition([WHOLE], HOT_POSITION);
  gate.applyAssignment(createAssignment(2, parts));
  const ref = {start: 0, token: 1};
  t.deepEqual(gate.releaseSlices([ref]), [ref]);
  gate.applyAssignment(createAssignment(3, [{...WHOLE, token: 3}]));
  t.is(gate.checkPosition(HOT_POSITION).kind, 'owned');
  t.deepEqual(gate.releaseSlices([ref]), []);
  t.is(gate.checkPosition(0).kind, 'owned');
});
