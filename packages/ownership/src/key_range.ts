/**
 * Maps the integer keys of range-divided services to ring positions. Keys are spaced evenly on the ring
 * in ascending order, so adjacent keys stay adjacent.
 */
import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';

import {getSliceEnd} from './slices.js';
import type {Slice} from './types.js';

/** Number of keys of a range-divided service: integers from 0 to RANGE_KEYS - 1. */
export const RANGE_KEY_COUNT = 65_536;

const POSITIONS_PER_KEY = RING_SIZE / RANGE_KEY_COUNT;

/** A range of keys, inclusive at both ends. */
export interface KeyRange {
  readonly first: number;
  readonly last: number;
}

/** Returns the ring position of a key, or undefined if the text is not a valid key. */
export function findKeyPosition(key: string): number | undefined {
  const value = Number(key);
  const isKey = /^\d{1,5}$/.test(key) && value < RANGE_KEY_COUNT;
  return isKey ? value * POSITIONS_PER_KEY : undefined;
}

/** Returns the key range of a slice, or undefined if the slice contains no key. */
export function findKeyRange(
  slices: readonly Slice[],
  index: number,
): KeyRange | undefined {
  const slice = slices[index];
  if (slice === undefined) return undefined;
  const first = Math.ceil(slice.start / POSITIONS_PER_KEY);
  const last = Math.ceil(getSliceEnd(slices, index) / POSITIONS_PER_KEY) - 1;
  return first <= last ? {first, last} : undefined;
}

/** Returns whether two ranges have a key in common. */
export function isOverlapping(a: KeyRange, b: KeyRange): boolean {
  return a.first <= b.last && b.first <= a.last;
}

/** Returns whether a range contains every key of another. */
export function isCovering(outer: KeyRange, inner: KeyRange): boolean {
  return outer.first <= inner.first && inner.last <= outer.last;
}
