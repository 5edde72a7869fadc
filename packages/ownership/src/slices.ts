/**
 * Finds, splits and merges the slices of an assignment.
 */
import {assertDefined} from '@dottereldrift/core/assert.js';
import {isSameMember} from '@dottereldrift/core/member.js';
import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';
import type {Member, Token} from '@dottereldrift/core/types.js';

import type {Slice} from './types.js';

/** Creates unowned slices of equal size. */
export function createSlices(count: number): readonly Slice[] {
  return Array.from({length: count}, (_, index) => ({
    start: Math.floor((index * RING_SIZE) / count),
    owner: undefined,
    token: 0,
    nextOwner: undefined,
    recordsSince: 0,
  }));
}

/** Returns the index of the slice that contains a position. */
export function findSliceIndex(
  slices: readonly Slice[],
  position: number,
): number {
  let low = 0;
  let high = slices.length - 1;
  while (low < high) {
    const middle = (low + high + 1) >>> 1;
    if (
      assertDefined(slices[middle], 'The index is in range.').start <= position
    )
      low = middle;
    else high = middle - 1;
  }
  return low;
}

/** Returns the slice that contains a position, or undefined if there are no slices. */
export function findSlice(
  slices: readonly Slice[],
  position: number,
): Slice | undefined {
  return slices[findSliceIndex(slices, position)];
}

/** Returns the end position of a slice (exclusive). */
export function getSliceEnd(slices: readonly Slice[], index: number): number {
  return slices[index + 1]?.start ?? RING_SIZE;
}

/** Returns the fraction of the ring that a slice covers. */
export function getRingShare(slices: readonly Slice[], index: number): number {
  const start = slices[index]?.start ?? 0;
  return (getSliceEnd(slices, index) - start) / RING_SIZE;
}

/** Returns whether a member owns a slice. */
export function isOwnedBy(slice: Slice, member: Member): boolean {
  return slice.owner !== undefined && isSameMember(slice.owner, member);
}

/** Returns the slices that a member owns. */
export function getOwnedSlices(
  slices: readonly Slice[],
  member: Member,
): readonly Slice[] {
  return slices.filter(slice => isOwnedBy(slice, member));
}

/**
 * Splits the slice that contains a position so that the position gets its own slice. All parts keep the
 * owner and the token.
 */
export function isolatePosition(
  slices: readonly Slice[],
  position: number,
): readonly Slice[] {
  return splitSlice(splitSlice(slices, position), position + 1);
}

/** Splits a slice at a position, unless a slice already starts there or the position is the end of the ring. */
export function splitSlice(
  slices: readonly Slice[],
  position: number,
): readonly Slice[] {
  if (position >= RING_SIZE) return slices;
  const index = findSliceIndex(slices, position);
  const slice = assertDefined(slices[index], 'Every position lies in a slice.');
  if (slice.start === position) return slices;
  const second = {...slice, start: position};
  return [...slices.slice(0, index + 1), second, ...slices.slice(index + 1)];
}

/** Splits every slice in half, except those that are being moved or have a single position. */
export function splitAllInHalf(slices: readonly Slice[]): readonly Slice[] {
  return slices.flatMap((slice, index) => {
    const end = getSliceEnd(slices, index);
    const middle = Math.floor((slice.start + end) / 2);
    const isKept = middle === slice.start || slice.nextOwner !== undefined;
    return isKept ? [slice] : [slice, {...slice, start: middle}];
  });
}

/**
 * Merges two adjacent slices of the same owner. The new token invalidates releases and requests in flight
 * under the old tokens.
 */
export function mergeSlices(first: Slice, second: Slice, token: Token): Slice {
  const recordsSince = Math.max(first.recordsSince, second.recordsSince);
  const {start, owner, nextOwner} = first;
  return {start, owner, token, nextOwner, recordsSince};
}
