/**
 * Computes and applies differences between two generations of an assignment, so that a change to a few
 * slices does not transfer the whole assignment.
 */
import {assertDefined} from '@dottereldrift/core/assert.js';
import {isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';

import type {Assignment, Slice} from './types.js';

/** Changes that turn one generation of an assignment into a later one. */
export interface AssignmentDiff {
  /** Generation to which the difference applies. */
  readonly baseGeneration: number;
  /** The later assignment, containing only the new and changed slices. */
  readonly changed: Assignment;
  /** Start positions of the removed slices. */
  readonly removedStarts: readonly number[];
}

/** Returns the difference between two generations of an assignment. */
export function createDiff(
  before: Assignment,
  after: Assignment,
): AssignmentDiff {
  const unmatched = new Map(before.slices.map(slice => [slice.start, slice]));
  const slices = after.slices.filter(slice => {
    const previous = unmatched.get(slice.start);
    unmatched.delete(slice.start);
    return previous === undefined || !isSameSlice(previous, slice);
  });
  return {
    baseGeneration: before.generation,
    changed: {...after, slices},
    removedStarts: [...unmatched.keys()],
  };
}

/** Returns the later generation, or undefined if the difference applies to a different generation. */
export function applyDiff(
  before: Assignment | undefined,
  diff: AssignmentDiff,
): Assignment | undefined {
  if (before?.generation !== diff.baseGeneration) return undefined;
  const slices = new Map(before.slices.map(slice => [slice.start, slice]));
  for (const start of diff.removedStarts) slices.delete(start);
  for (const slice of diff.changed.slices) slices.set(slice.start, slice);
  const starts = [...slices.keys()].sort((a, b) => a - b);
  return {
    ...diff.changed,
    slices: starts.map(start =>
      assertDefined(slices.get(start), 'Every listed start has a slice.'),
    ),
  };
}

function isSameSlice(a: Slice, b: Slice): boolean {
  return (
    a === b ||
    (a.token === b.token &&
      a.recordsSince === b.recordsSince &&
      a.handover === b.handover &&
      isSameOwner(a.owner, b.owner) &&
      isSameOwner(a.nextOwner, b.nextOwner))
  );
}

function isSameOwner(a: Member | undefined, b: Member | undefined): boolean {
  if (a === undefined || b === undefined) return a === b;
  return isSameMember(a, b);
}
