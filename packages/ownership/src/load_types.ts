/**
 * Types of load reports and load profiles. All rates are in requests per second.
 */
import type {Member, ServiceName, Token} from '@dottereldrift/core/types.js';

/** Rate of a range of the ring, excluding its hot positions. */
export interface SegmentRate {
  /** First position of the range. */
  readonly start: number;
  readonly rate: number;
}

/** Rate of a slice, or of one bin of a heavy slice, as reported by its owner. */
export interface ReportedSegment extends SegmentRate {
  /** End of the range (exclusive). */
  readonly end: number;
}

/** Rate of one position. */
export interface PositionRate {
  readonly position: number;
  readonly rate: number;
}

/** An owner's load report for one service. */
export interface LoadReport {
  readonly service: ServiceName;
  readonly owner: Member;
  /** The report covers those of the owner's slices whose token is at most this one. */
  readonly settledToken: Token;
  /** Segments whose load deviates most from the mean, ordered by start. */
  readonly segments: readonly ReportedSegment[];
  /** Rate per position in the covered slices outside the listed segments. */
  readonly restDensity: number;
  readonly hotPositions: readonly PositionRate[];
  /** Requests per second that the owner's server can process; absent while unknown. */
  readonly capacity?: number;
}

/** Load of a service over the ring: evenly spread segment rates plus the rates of hot positions. */
export interface LoadProfile {
  /** Ordered by start; the first segment starts at 0. */
  readonly segments: readonly SegmentRate[];
  /** Ordered by position. */
  readonly hotPositions: readonly PositionRate[];
}
