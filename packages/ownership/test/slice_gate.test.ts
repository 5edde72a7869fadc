/**
 * Tests of what a release stops, hands back and waits for.
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

test('a release hands back what waits for its slices and nothing else', t => {
  const gate = createGate();
  const handedBack: string[] = [];
  gate.addWaiting(5, () => handedBack.push('first'));
  gate.addWaiting(105, () => handedBack.push('second'));
  const forget = gate.addWaiting(6, () => handedBack.push('running'));
  forget();
  gate.releaseSlices([FIRST]);
  gate.releaseSlices([FIRST]);
  t.deepEqual(handedBack, ['first']);
});

test('a slice on which a request runs holds up no other slice', t => {
  const gate = createGate();
  const end = gate.startRequest(5);
  t.deepEqual(gate.releaseSlices([FIRST, SECOND]), [SECOND]);
  t.is(gate.checkPosition(5).kind, 'moving');
  end();
  t.deepEqual(gate.releaseSlices([FIRST, SECOND]), [FIRST, SECOND]);
});

test('a released slice is no longer granted', t => {
  const gate = createGate();
  gate.releaseSlices([FIRST]);
  t.deepEqual(
    gate.getHeldSlices().map(slice => slice.start),
    [100],
  );
});
