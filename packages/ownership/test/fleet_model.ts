/**
 * Helpers for placement tests: creates members and placement inputs, and applies plans whose moves are all
 * released at once.
 */
import type {Member} from '@dottereldrift/core/types.js';

import {EMPTY_PROFILE} from '../src/load_profile.js';
import {planAssignment, type PlacementInput} from '../src/placement.js';
import type {Assignment, SliceRef} from '../src/types.js';

export const WRITER: Member = {host: 'writer', incarnation: 'a'};

/** Creates members on numbered hosts. */
export function createMembers(count: number, first = 1): readonly Member[] {
  return Array.from({length: count}, (_, index) => ({
    host: `h${first + index}`,
    incarnation: 'a',
  }));
}

/** Creates placement input in which no member has ended and no slice is released. */
export function createInput(
  eligible: readonly Member[],
  changes: Partial<PlacementInput> = {},
): PlacementInput {
  return {
    service: 'menu',
    writer: WRITER,
    present: undefined,
    eligible,
    isEnded: () => false,
    released: [],
    slicesPerServer: 16,
    profile: EMPTY_PROFILE,
    ...changes,
  };
}

/** Returns references to all slices with a planned move. */
export function listMoving(assignment: Assignment): readonly SliceRef[] {
  return assignment.slices
    .filter(slice => slice.nextOwner !== undefined)
    .map(({start, token}) => ({start, token}));
}

/** Plans repeatedly, releasing every move, until nothing changes. Throws if the plan does not stabilize. */
export function planUntilStable(input: PlacementInput): Assignment {
  let present = input.present;
  for (let round = 0; round < 1_000; round++) {
    const released = present === undefined ? [] : listMoving(present);
    const next = planAssignment({...input, present, released});
    if (next === undefined && present !== undefined) return present;
    present = next;
  }
  throw new Error('The plan did not stabilize within 1000 rounds.');
}
