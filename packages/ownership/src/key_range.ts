/**
 * Conversion between ring positions and the whole-numbered keys of services that are divided by a
 * range of keys: the keys lie evenly on the ring, so that neighbours stay neighbours.
 */
import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';

import {getSliceEnd} from './slices.js';
import type {Slice} from './types.js';

/** Keys of a service that is divided by range: whole numbers from 0 up to, not including, this. */
export const RANGE_KEYS = 65_536;

const POSITIONS_PER_KEY = RING_SIZE / RANGE_KEYS;

/** Keys from the first to the last, both included. */
export interface KeyRange {
  readonly first: number;
  readonly last: number;
}

/** Returns the position of a key; undefined when the text is not a key of the range. */
export function findKeyPosition(key: string): number | undefined {
  const value = Number(key);
  const isKey = /^\d{1,5}$/.test(key) && value < RANGE_KEYS;
  return isKey ? value * POSITIONS_PER_KEY : undefined;
}

/** Returns the keys of a slice; undefined when it lies between two keys. */
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

/** Tells whether two ranges have a key in common. */
export function isOverlapping(a: KeyRange, b: KeyRange): boolean {
  return a.first <= b.last && b.first <= a.last;
}

/** Tells whether a range has every key of another. */
export function isCovering(outer: KeyRange, inner: KeyRange): boolean {
  return outer.first <= inner.first && inner.last <= outer.last;
}
