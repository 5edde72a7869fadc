/**
 * The load of a service over the whole ring, put together from the reports of its owners. What an
 * owner does not yet know, since it got a slice a moment ago, stays as the last report had it.
 */
import {formatMember} from '@dottereldrift/core/member.js';
import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';

import type {
  LoadProfile,
  LoadReport,
  PositionRate,
  SegmentRate,
} from './load_types.js';
import {findSlice, getSliceEnd} from './slices.js';
import type {Assignment, Slice} from './types.js';

/** The profile before the first report. */
export const EMPTY_PROFILE: LoadProfile = {segments: [], hotPositions: []};

/** Returns the profile after reports; of two reports of one owner the later counts. */
export function applyReports(
  profile: LoadProfile,
  assignment: Assignment,
  reports: readonly LoadReport[],
): LoadProfile {
  const byOwner = new Map(
    reports.map(report => [formatMember(report.owner), createLookup(report)]),
  );
  const {slices} = assignment;
  const reader = new SegmentReader(profile.segments);
  const segments = slices.map((slice, index): SegmentRate => {
    const end = getSliceEnd(slices, index);
    const known = reader.takeRate(slice.start, end);
    const lookup = findLookup(byOwner, slice);
    const rate = lookup?.getRate(slice.start, end) ?? known;
    return {start: slice.start, rate};
  });
  const kept = profile.hotPositions.filter(hot => {
    const slice = findSlice(slices, hot.position);
    return slice !== undefined && findLookup(byOwner, slice) === undefined;
  });
  const fresh = reports.flatMap(report =>
    report.hotPositions.filter(hot => {
      const slice = findSlice(slices, hot.position);
      return (
        slice !== undefined && findLookup(byOwner, slice)?.report === report
      );
    }),
  );
  const hotPositions = [...kept, ...fresh].sort(comparePositions);
  return {segments, hotPositions};
}

/** Returns the rate of each slice, hot positions included. */
export function computeSliceRates(
  profile: LoadProfile,
  slices: readonly Slice[],
): number[] {
  const reader = new SegmentReader(profile.segments);
  let hotIndex = 0;
  return slices.map((slice, index) => {
    const end = getSliceEnd(slices, index);
    let rate = reader.takeRate(slice.start, end);
    for (;;) {
      const hot = profile.hotPositions[hotIndex];
      if (hot === undefined || hot.position >= end) return rate;
      rate += hot.rate;
      hotIndex += 1;
    }
  });
}

interface ReportLookup {
  readonly report: LoadReport;
  getRate(start: number, end: number): number;
}

function createLookup(report: LoadReport): ReportLookup {
  return {
    report,
    getRate: (start, end) => {
      const segment = report.segments.find(
        other => other.start <= start && end <= other.end,
      );
      const density =
        segment === undefined
          ? report.restDensity
          : segment.rate / (segment.end - segment.start);
      return density * (end - start);
    },
  };
}

function findLookup(
  byOwner: ReadonlyMap<string, ReportLookup>,
  slice: Slice,
): ReportLookup | undefined {
  if (slice.owner === undefined || byOwner.size === 0) return undefined;
  const lookup = byOwner.get(formatMember(slice.owner));
  const isCovered = slice.token <= (lookup?.report.settledToken ?? -1);
  return isCovered ? lookup : undefined;
}

/** Reads the rates of stretches in rising order, each segment's rate spread evenly over it. */
class SegmentReader {
  private index = 0;

  constructor(private readonly segments: readonly SegmentRate[]) {}

  takeRate(start: number, end: number): number {
    let rate = 0;
    for (;;) {
      const segment = this.segments[this.index];
      if (segment === undefined) return rate;
      const segmentEnd = this.segments[this.index + 1]?.start ?? RING_SIZE;
      const overlap =
        Math.min(end, segmentEnd) - Math.max(start, segment.start);
      if (overlap > 0)
        rate += segment.rate * (overlap / (segmentEnd - segment.start));
      if (segmentEnd > end) return rate;
      this.index += 1;
    }
  }
}

function comparePositions(a: PositionRate, b: PositionRate): number {
  return a.position - b.position;
}
