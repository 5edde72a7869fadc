/**
 * Look-ups and changes of the slices of an assignment.
 */
import {assertDefined} from '@dottereldrift/core/assert.js';
import {isSameMember} from '@dottereldrift/core/member.js';
import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';
import type {Member, Token} from '@dottereldrift/core/types.js';

import type {Slice} from './types.js';

/** Creates slices of equal size without owners. */
export function createSlices(count: number): readonly Slice[] {
  return Array.from({length: count}, (_, index) => ({
    start: Math.floor((index * RING_SIZE) / count),
    owner: undefined,
    token: 0,
    nextOwner: undefined,
    recordsSince: 0,
  }));
}

/** Returns the index of the slice that a position lies in. */
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

/** Returns the slice that a position lies in; undefined when there are no slices. */
export function findSlice(
  slices: readonly Slice[],
  position: number,
): Slice | undefined {
  return slices[findSliceIndex(slices, position)];
}

/** Returns the first position behind a slice. */
export function getSliceEnd(slices: readonly Slice[], index: number): number {
  return slices[index + 1]?.start ?? RING_SIZE;
}

/** Returns the share of the ring that a slice covers. */
export function getRingShare(slices: readonly Slice[], index: number): number {
  const start = slices[index]?.start ?? 0;
  return (getSliceEnd(slices, index) - start) / RING_SIZE;
}

/** Tells whether a member owns a slice. */
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
 * Cuts the slice of a position so that the position gets a slice of its own. Each part keeps the
 * owner and the token.
 */
export function isolatePosition(
  slices: readonly Slice[],
  position: number,
): readonly Slice[] {
  return splitSlice(splitSlice(slices, position), position + 1);
}

/** Cuts a slice in two at a position, unless a slice starts there or it is the end of the ring. */
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

/** Cuts every slice that is not on the move in two halves. */
export function splitAll(slices: readonly Slice[]): readonly Slice[] {
  return slices.flatMap((slice, index) => {
    const end = getSliceEnd(slices, index);
    const middle = Math.floor((slice.start + end) / 2);
    const isWhole = middle === slice.start || slice.nextOwner !== undefined;
    return isWhole ? [slice] : [slice, {...slice, start: middle}];
  });
}

/**
 * Makes one slice of two neighbours of one owner. The new token voids what the owner released and
 * what is under way under the old ones.
 */
export function mergeSlices(first: Slice, second: Slice, token: Token): Slice {
  const recordsSince = Math.max(first.recordsSince, second.recordsSince);
  const {start, owner, nextOwner} = first;
  return {start, owner, token, nextOwner, recordsSince};
}
