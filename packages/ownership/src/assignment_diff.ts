/**
 * Differences between two generations of an assignment, so that a change of a few slices does not
 * carry all of them.
 */
import {assertDefined} from '@dottereldrift/core/assert.js';
import {isSameMember} from '@dottereldrift/core/member.js';
import type {Member} from '@dottereldrift/core/types.js';

import type {Assignment, Slice} from './types.js';

/** What turns one generation of an assignment into a later one. */
export interface AssignmentDiff {
  /** Generation that the difference is applied to. */
  readonly baseGeneration: number;
  /** The later assignment with only those slices that are new or changed. */
  readonly changed: Assignment;
  /** Starts of the slices that are no more. */
  readonly removedStarts: readonly number[];
}

/** Returns the difference between two generations. */
export function createDiff(
  before: Assignment,
  after: Assignment,
): AssignmentDiff {
  const old = new Map(before.slices.map(slice => [slice.start, slice]));
  const slices = after.slices.filter(slice => {
    const same = old.get(slice.start);
    old.delete(slice.start);
    return same === undefined || !isSameSlice(same, slice);
  });
  return {
    baseGeneration: before.generation,
    changed: {...after, slices},
    removedStarts: [...old.keys()],
  };
}

/** Returns the later generation, or undefined when the difference is to another generation. */
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
      assertDefined(slices.get(start), 'The start was listed.'),
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
