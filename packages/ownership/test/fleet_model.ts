/**
 * A model of a service's owners for tests of placement: each knows some generation, releases what it
 * is asked for, and is taken for the owner of a position as long as its gate admits it.
 */
import type {Member} from '@dottereldrift/core/types.js';

import {planAssignment, type PlacementInput} from '../src/placement.js';
import type {Assignment, SliceRef} from '../src/types.js';

export const WRITER: Member = {host: 'writer', incarnation: 'a'};

/** Creates members with numbered hosts. */
export function createMembers(count: number, first = 1): readonly Member[] {
  return Array.from({length: count}, (_, index) => ({
    host: `h${first + index}`,
    incarnation: 'a',
  }));
}

/** Creates the input of a plan in which nobody has ended and nothing is released. */
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
    ...changes,
  };
}

/** Returns the refs of every slice on the move. */
export function listMoving(assignment: Assignment): readonly SliceRef[] {
  return assignment.slices
    .filter(slice => slice.nextOwner !== undefined)
    .map(({start, token}) => ({start, token}));
}

/** Plans until nothing changes, with every move released. Fails when it does not settle. */
export function planUntilSettled(input: PlacementInput): Assignment {
  let present = input.present;
  for (let round = 0; round < 1_000; round++) {
    const released = present === undefined ? [] : listMoving(present);
    const next = planAssignment({...input, present, released});
    if (next === undefined && present !== undefined) return present;
    present = next;
  }
  throw new Error('The plan does not settle.');
}
