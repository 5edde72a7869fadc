/**
 * Splits and merges slices without changing the owner of any position: doubles the slices for a larger
 * fleet, splits heavy slices, isolates hot positions, and merges cold neighbours to bound the number of
 * slices.
 */
import {isSameMember} from '@dottereldrift/core/member.js';
import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';
import type {Token} from '@dottereldrift/core/types.js';

import {computeSliceRates} from './load_profile.js';
import type {LoadProfile, SegmentRate} from './load_types.js';
import {
  findSlice,
  getSliceEnd,
  isolatePosition,
  mergeSlices,
  splitAllInHalf,
  splitSlice,
} from './slices.js';
import type {Slice} from './types.js';

/** Maximum number of slices of a service; keeps the assignment record below one megabyte. */
export const MAX_SLICES = 40_000;

/** Share of the mean owner load from which a position gets its own slice. */
export const ISOLATION_SHARE = 0.05;

/** Share of the mean owner load from which a slice is split; close to the deviation that triggers moves. */
const SPLIT_SHARE = 0.15;

/**
 * Minimum load for splitting a slice or isolating a position, in requests per second. With the decay time of
 * the platform's settings this is six requests; fewer do not show where the load is concentrated.
 */
const MIN_SPLIT_RATE = 4;

/**
 * Maximum load of the parts of a split slice where possible, as a share of the mean owner load. Half of
 * SPLIT_SHARE, so that the parts need not be split again while the load grows.
 */
const MAX_PART_SHARE = 0.075;

/** Maximum load of a merged slice, as a share of the mean owner load. */
const COLD_SHARE = 0.02;

/** Maximum number of slices as a multiple of the target count; leaves room to split two hot ranges. */
const MAX_SLICE_COUNT_FACTOR = 3;
const MAX_MERGES_PER_PLAN = 16;
const MERGED_WIDTH_TOLERANCE = 1.01;
/** Maximum number of slices that isolating one position adds. */
const SLICES_ADDED_BY_ISOLATION = 2;

/** Input of split and merge planning. */
export interface SplitMergeInput {
  /** Target number of slices for the size of the fleet. */
  readonly plannedCount: number;
  readonly profile: LoadProfile;
  /** Mean load of an owner, in requests per second. */
  readonly meanRate: number;
  /**
   * Number of slices above which cold neighbours are merged, as a multiple of the target count. A merged
   * slice gets a new token, so its keys are unavailable until its server has received that token.
   */
  readonly mergeFactor: number;
  /** Token of merged slices. */
  readonly token: Token;
}

/** Returns the slices split and merged according to the load. */
export function planSplitsAndMerges(
  slices: readonly Slice[],
  input: SplitMergeInput,
): readonly Slice[] {
  const grown = splitForGrowth(slices, input);
  const split = splitHeavySlices(grown, input);
  const isolated = isolateHotPositions(split, input);
  return mergeColdSlices(isolated, input);
}

function splitForGrowth(
  slices: readonly Slice[],
  input: SplitMergeInput,
): readonly Slice[] {
  const {plannedCount} = input;
  const isTooFew =
    slices.length * 2 <= plannedCount && slices.length * 2 <= MAX_SLICES;
  return isTooFew ? splitAllInHalf(slices) : slices;
}

/**
 * Splits slices that are too heavy to be moved as a whole, at boundaries between the segments and hot
 * positions that owners report. The heaviest slices are split first; light neighbouring parts stay together.
 */
function splitHeavySlices(
  slices: readonly Slice[],
  input: SplitMergeInput,
): readonly Slice[] {
  const known = listParts(input.profile);
  const maxCount = Math.min(
    MAX_SLICES,
    input.plannedCount * MAX_SLICE_COUNT_FACTOR,
  );
  const rates = computeSliceRates(input.profile, slices);
  const minRate = Math.max(MIN_SPLIT_RATE, input.meanRate * SPLIT_SHARE);
  const heavy = [...slices.keys()]
    .filter(index => slices[index]?.nextOwner === undefined)
    .filter(index => (rates[index] ?? 0) >= minRate)
    .sort((a, b) => (rates[b] ?? 0) - (rates[a] ?? 0));
  const positions = heavy.flatMap(index => {
    const start = slices[index]?.start ?? 0;
    const end = getSliceEnd(slices, index);
    const parts = known.filter(part => start <= part.start && part.start < end);
    const maxRate = Math.max(MIN_SPLIT_RATE, input.meanRate * MAX_PART_SHARE);
    return findSplitPositions(parts, maxRate);
  });
  const room = Math.max(0, maxCount - slices.length);
  return positions
    .slice(0, room)
    .reduce((result, position) => splitSlice(result, position), slices);
}

/** Returns the reported segments and hot positions as one list ordered by start. */
function listParts({
  segments,
  hotPositions,
}: LoadProfile): readonly SegmentRate[] {
  const hot = hotPositions.map(({position, rate}) => ({start: position, rate}));
  return [...segments, ...hot].sort((a, b) => a.start - b.start);
}

/** Returns the split positions, so that every part made of several segments stays within a rate. */
function findSplitPositions(
  parts: readonly SegmentRate[],
  maxRate: number,
): readonly number[] {
  const positions: number[] = [];
  let rate = 0;
  for (const part of parts) {
    if (rate > 0 && rate + part.rate > maxRate) {
      positions.push(part.start);
      rate = 0;
    }
    rate += part.rate;
  }
  return positions;
}

function isolateHotPositions(
  slices: readonly Slice[],
  input: SplitMergeInput,
): readonly Slice[] {
  const maxCount = Math.min(
    MAX_SLICES,
    input.plannedCount * MAX_SLICE_COUNT_FACTOR,
  );
  const minRate = Math.max(MIN_SPLIT_RATE, input.meanRate * ISOLATION_SHARE);
  return [...input.profile.hotPositions]
    .sort((a, b) => b.rate - a.rate)
    .filter(hot => hot.rate >= minRate)
    .reduce((result, hot) => {
      const slice = findSlice(result, hot.position);
      const hasRoom = result.length + SLICES_ADDED_BY_ISOLATION <= maxCount;
      if (!hasRoom || slice?.nextOwner !== undefined) return result;
      const isolated = isolatePosition(result, hot.position);
      return isolated.length === result.length ? result : isolated;
    }, slices);
}

function mergeColdSlices(
  slices: readonly Slice[],
  input: SplitMergeInput,
): readonly Slice[] {
  if (slices.length <= input.plannedCount * input.mergeFactor) return slices;
  const rates = computeSliceRates(input.profile, slices);
  const maxWidth = (RING_SIZE / input.plannedCount) * MERGED_WIDTH_TOLERANCE;
  const maxRate = input.meanRate * COLD_SHARE;
  const merged: Slice[] = [];
  let mergedRate = 0;
  let merges = 0;
  slices.forEach((slice, index) => {
    const rate = rates[index] ?? 0;
    const last = merged[merged.length - 1];
    const isMerging =
      last !== undefined &&
      merges < MAX_MERGES_PER_PLAN &&
      isMergeable(last, slice) &&
      getSliceEnd(slices, index) - last.start <= maxWidth &&
      mergedRate + rate <= maxRate;
    if (isMerging) {
      merged[merged.length - 1] = mergeSlices(last, slice, input.token);
      mergedRate += rate;
      merges += 1;
    } else {
      merged.push(slice);
      mergedRate = rate;
    }
  });
  return merges === 0 ? slices : merged;
}

function isMergeable(first: Slice, second: Slice): boolean {
  return (
    first.owner !== undefined &&
    second.owner !== undefined &&
    isSameMember(first.owner, second.owner) &&
    first.nextOwner === undefined &&
    second.nextOwner === undefined
  );
}
