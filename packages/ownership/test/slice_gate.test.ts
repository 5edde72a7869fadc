/**
 * Tests that releasing slices stops admission, returns waiting requests and waits for running ones.
 */
import test from 'ava';

import {SliceGate} from '../src/slice_gate.js';
import type {Slice} from '../src/types.js';

const SELF = {host: 'h1', incarnation: 'a'};
const FIRST = {start: 0, token: 1};
const SECOND = {start: 100, token: 1};

function createGate(): SliceGate {
  const gate = new SliceGate(SELF);
  const slices = [FIRST, SECOND].map((ref): Slice => ({
    ...ref,
    owner: SELF,
    nextOwner: undefined,
    recordsSince: 0,
  }));
  gate.applyAssignment({service: 'menu', generation: 1, slices, writer: SELF});
  return gate;
}

test('a release returns the waiting requests of its slices and no others', t => {
  const gate = createGate();
  const returned: string[] = [];
  gate.addWaitingRequest(5, () => returned.push('first'));
  gate.addWaitingRequest(105, () => returned.push('second'));
  const unregister = gate.addWaitingRequest(6, () => returned.push('running'));
  unregister();
  gate.releaseSlices([FIRST]);
  gate.releaseSlices([FIRST]);
  t.deepEqual(returned, ['first']);
});

test('a running request delays the release of its own slice only', t => {
  const gate = createGate();
  const end = gate.startRequest(5);
  t.deepEqual(gate.releaseSlices([FIRST, SECOND]), [SECOND]);
  t.is(gate.checkPosition(5).kind, 'moving');
  end();
  t.deepEqual(gate.releaseSlices([FIRST, SECOND]), [FIRST, SECOND]);
});

test('a released slice is no longer held', t => {
  const gate = createGate();
  t.deepEqual(gate.getReleasedSlices(), []);
  gate.releaseSlices([FIRST]);
  t.deepEqual(
    gate.getReleasedSlices().map(({start, token}) => ({start, token})),
    [FIRST],
  );
  t.deepEqual(
    gate.getHeldSlices().map(slice => slice.start),
    [100],
  );
});
