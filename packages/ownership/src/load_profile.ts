/**
 * Combines the load reports of a service's owners into a load profile of the whole ring. Slices that an
 * owner received too recently to have measured keep the rates from earlier reports.
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

/** The profile before any report has arrived. */
export const EMPTY_PROFILE: LoadProfile = {segments: [], hotPositions: []};

/** Returns the profile updated with reports. If an owner has several, its last one in the list is used. */
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
  const segments = slices.flatMap((slice, index): readonly SegmentRate[] => {
    const end = getSliceEnd(slices, index);
    const known = reader.listParts(slice.start, end);
    return (
      findSettledLookup(byOwner, slice)?.listParts(slice.start, end) ?? known
    );
  });
  const kept = profile.hotPositions.filter(hot => {
    const slice = findSlice(slices, hot.position);
    return (
      slice !== undefined && findSettledLookup(byOwner, slice) === undefined
    );
  });
  const fresh = reports.flatMap(report =>
    report.hotPositions.filter(hot => {
      const slice = findSlice(slices, hot.position);
      return (
        slice !== undefined &&
        findSettledLookup(byOwner, slice)?.report === report
      );
    }),
  );
  const hotPositions = [...kept, ...fresh].sort(comparePositions);
  return {segments, hotPositions};
}

/** Returns the rate of each slice, including its hot positions. */
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
  /** Returns the rates of the parts of a slice at the resolution of the report. */
  listParts(start: number, end: number): readonly SegmentRate[];
}

function createLookup(report: LoadReport): ReportLookup {
  const {segments, restDensity} = report;
  return {
    report,
    listParts: (start, end) => {
      const parts: SegmentRate[] = [];
      let position = start;
      const addRest = (until: number) => {
        if (until <= position) return;
        const rate = restDensity * (until - position);
        parts.push({start: position, rate});
        position = until;
      };
      for (const segment of segments) {
        const from = Math.max(start, segment.start);
        const to = Math.min(end, segment.end);
        if (from >= to) continue;
        addRest(from);
        const density = segment.rate / (segment.end - segment.start);
        parts.push({start: from, rate: density * (to - from)});
        position = to;
      }
      addRest(end);
      return parts;
    },
  };
}

function findSettledLookup(
  byOwner: ReadonlyMap<string, ReportLookup>,
  slice: Slice,
): ReportLookup | undefined {
  if (slice.owner === undefined || byOwner.size === 0) return undefined;
  const lookup = byOwner.get(formatMember(slice.owner));
  const isCovered = slice.token <= (lookup?.report.settledToken ?? -1);
  return isCovered ? lookup : undefined;
}

/** Reads the rates of ranges in ascending order, assuming an even rate within each segment. */
class SegmentReader {
  private index = 0;

  constructor(private readonly segments: readonly SegmentRate[]) {}

  /** Returns the rate of a range. */
  takeRate(start: number, end: number): number {
    return this.listParts(start, end).reduce((sum, {rate}) => sum + rate, 0);
  }

  /** Returns one part of a range per overlapping segment, or a single part with rate 0 if there is none. */
  listParts(start: number, end: number): readonly SegmentRate[] {
    const parts: SegmentRate[] = [];
    for (;;) {
      const segment = this.segments[this.index];
      if (segment === undefined) break;
      const segmentEnd = this.segments[this.index + 1]?.start ?? RING_SIZE;
      const from = Math.max(start, segment.start);
      const overlap = Math.min(end, segmentEnd) - from;
      if (overlap > 0) {
        const rate = segment.rate * (overlap / (segmentEnd - segment.start));
        parts.push({start: from, rate});
      }
      if (segmentEnd > end) break;
      this.index += 1;
    }
    return parts.length === 0 ? [{start, rate: 0}] : parts;
  }
}

function comparePositions(a: PositionRate, b: PositionRate): number {
  return a.position - b.position;
}
