/**
 * Shapes of load: what owners report and what placement is decided from. Rates are in requests a
 * second.
 */
import type {Member, ServiceName, Token} from '@dottereldrift/core/types.js';

/** Rate of a stretch of the ring, without the rates of its hot positions. */
export interface SegmentRate {
  /** First position of the stretch. */
  readonly start: number;
  readonly rate: number;
}

/** Rate of one slice, as its owner reports it. */
export interface ReportedSegment extends SegmentRate {
  /** First position behind the slice. */
  readonly end: number;
}

/** Rate of one position. */
export interface PositionRate {
  readonly position: number;
  readonly rate: number;
}

/** What an owner reports of one service. */
export interface LoadReport {
  readonly service: ServiceName;
  readonly owner: Member;
  /** The report covers the owner's slices whose tokens are not above this one. */
  readonly settledToken: Token;
  /** Slices whose load differs most from the others', by their starts. */
  readonly segments: readonly ReportedSegment[];
  /** Rate of each position of the covered slices that are not listed. */
  readonly restDensity: number;
  readonly hotPositions: readonly PositionRate[];
  /** Requests a second that the owner's server can run; absent while it is not known. */
  readonly capacity?: number;
}

/** Load of a service over the ring: even rates of segments, and hot positions on top. */
export interface LoadProfile {
  /** In the order of their starts; the first starts at 0 unless there are none. */
  readonly segments: readonly SegmentRate[];
  /** In the order of the positions. */
  readonly hotPositions: readonly PositionRate[];
}
