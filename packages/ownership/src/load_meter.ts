/**
 * Measures the request rate of an owner's slices of one service with exponential decay, and produces the
 * load report on which placement decisions are based.
 *
 * Uses forward decay: later requests are counted with a higher weight, and a read divides by the current
 * weight. Counting a request therefore costs a single addition.
 */
import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';
import type {Member, Token} from '@dottereldrift/core/types.js';

import {HeavyHitterSketch} from './hot_positions.js';
import {LoadBins} from './load_bins.js';
import type {LoadReport, PositionRate, ReportedSegment} from './load_types.js';
import {getSliceEnd, isOwnedBy} from './slices.js';
import type {Assignment} from './types.js';

/** Time constants of a load meter. */
export interface MeterTiming {
  /** Time constant of the exponential decay, in milliseconds. */
  readonly decayMs: number;
  /** Observation time before the load of a new slice is reported, in milliseconds. */
  readonly settleMs: number;
}

/** Tracks slowly changing load with little noise. */
export const DEFAULT_METER_TIMING: MeterTiming = {
  decayMs: 20_000,
  settleMs: 5_000,
};
/** Maximum number of segments in a report, sized for four slices in parts plus as many outliers. */
export const MAX_REPORTED_SEGMENTS = 64;
/** Share of an owner's load from which a slice is reported bin by bin; lower than the share that triggers a split. */
const MIN_BINNED_SHARE = 0.08;
/** Maximum number of hot positions in a report. */
export const MAX_REPORTED_POSITIONS = 16;

const MS_PER_SECOND = 1_000;
const SKETCH_CAPACITY = 128;
/** Share of an owner's load from which a position counts as hot. */
const MIN_HOT_SHARE = 0.01;
const MAX_WEIGHT = 1e9;
/** Interval between updates of the request weight. */
const WEIGHT_INTERVAL_MS = 50;

interface SliceCounter {
  readonly start: number;
  readonly end: number;
  readonly token: Token;
  readonly sinceMs: number;
  readonly bins: LoadBins;
}

/** Positions from `start` (inclusive) to `end` (exclusive). */
type PositionRange = Pick<ReportedSegment, 'start' | 'end'>;

/** Measures the load of one service at one owner. */
export class LoadMeter {
  private counters = new Map<number, SliceCounter>();
  private readonly sketch = new HeavyHitterSketch(SKETCH_CAPACITY);
  private weight = 1;
  private weightUpdatedAtMs: number;
  private readonly startedAtMs: number;

  constructor(
    nowMs: number,
    private readonly timing: MeterTiming = DEFAULT_METER_TIMING,
  ) {
    this.weightUpdatedAtMs = nowMs;
    this.startedAtMs = nowMs;
  }

  /** Counts requests at a position in the slice that begins at `start`. */
  addRequests(
    start: number,
    position: number,
    count: number,
    nowMs: number,
  ): void {
    if (nowMs - this.weightUpdatedAtMs >= WEIGHT_INTERVAL_MS)
      this.updateWeight(nowMs);
    const counter = this.counters.get(start);
    if (counter === undefined) return;
    counter.bins.addWeight(position, this.weight * count);
    this.sketch.addWeight(position, this.weight * count);
  }

  /** Applies a new assignment. Slices that were split or merged keep their counts. */
  applyAssignment(assignment: Assignment, self: Member, nowMs: number): void {
    const before = [...this.counters.values()];
    const {slices} = assignment;
    const counters = new Map<number, SliceCounter>();
    slices.forEach((slice, index) => {
      if (!isOwnedBy(slice, self)) return;
      const {start, token} = slice;
      const end = getSliceEnd(slices, index);
      const counter = this.createCounter(start, end, token, nowMs, before);
      counters.set(start, counter);
    });
    this.counters = counters;
  }

  /** Returns the total rate of the slices that a report covers, in requests per second. */
  getSettledRate(nowMs: number): number {
    this.updateWeight(nowMs);
    return this.listSettled(nowMs).reduce(
      (sum, {bins, sinceMs}) =>
        sum + this.getRate(bins.getTotal(), sinceMs, nowMs),
      0,
    );
  }

  /** Returns the owner's load report. */
  readReport(service: string, owner: Member, nowMs: number): LoadReport {
    this.updateWeight(nowMs);
    const settled = this.listSettled(nowMs);
    const hotPositions = this.listHotPositions(settled, nowMs);
    const total = settled.reduce((sum, {bins}) => sum + bins.getTotal(), 0);
    const rates = settled.flatMap(counter =>
      this.listRates(counter, hotPositions, total * MIN_BINNED_SHARE, nowMs),
    );
    return {
      service,
      owner,
      settledToken: this.getSettledToken(nowMs),
      ...selectOutliers(rates),
      hotPositions,
    };
  }

  /** Returns the rate of a slice without its hot positions, bin by bin if the slice is heavy. */
  private listRates(
    {start, end, bins, sinceMs}: SliceCounter,
    hotPositions: readonly PositionRate[],
    minDivided: number,
    nowMs: number,
  ): readonly ReportedSegment[] {
    const parts =
      bins.getTotal() >= minDivided
        ? bins.listBins()
        : [{start, end, weight: bins.getTotal()}];
    return parts.map(part => {
      const totalRate = this.getRate(part.weight, sinceMs, nowMs);
      const hotRate = hotPositions
        .filter(hot => isWithin(hot.position, part))
        .reduce((sum, hot) => sum + hot.rate, 0);
      const rate = Math.max(0, totalRate - hotRate);
      return {start: part.start, end: part.end, rate};
    });
  }

  private createCounter(
    start: number,
    end: number,
    token: Token,
    nowMs: number,
    before: readonly SliceCounter[],
  ): SliceCounter {
    const existing = this.counters.get(start);
    if (existing !== undefined && existing.end === end)
      return {...existing, token};
    const overlapping = before.filter(
      counter => counter.start < end && start < counter.end,
    );
    const covered = overlapping.reduce(
      (sum, counter) =>
        sum + Math.min(end, counter.end) - Math.max(start, counter.start),
      0,
    );
    const bins = new LoadBins(start, end);
    if (covered !== end - start)
      return {start, end, token, sinceMs: nowMs, bins};
    for (const counter of overlapping) bins.mergeBins(counter.bins);
    const sinceMs = Math.min(...overlapping.map(counter => counter.sinceMs));
    return {start, end, token, sinceMs, bins};
  }

  private listHotPositions(settled: readonly SliceCounter[], nowMs: number) {
    const total = settled.reduce((sum, {bins}) => sum + bins.getTotal(), 0);
    return this.sketch
      .listHeaviest(MAX_REPORTED_POSITIONS, total * MIN_HOT_SHARE)
      .flatMap(({position, weight}) => {
        const counter = settled.find(other => isWithin(position, other));
        if (counter === undefined) return [];
        const bounded = Math.min(weight, counter.bins.getTotal());
        const rate = this.getRate(bounded, counter.sinceMs, nowMs);
        return rate > 0 ? [{position, rate}] : [];
      });
  }

  private listSettled(nowMs: number): readonly SliceCounter[] {
    return [...this.counters.values()].filter(
      counter => nowMs - counter.sinceMs >= this.timing.settleMs,
    );
  }

  private getSettledToken(nowMs: number): Token {
    let settledToken = Number.MAX_SAFE_INTEGER;
    for (const {token, sinceMs} of this.counters.values()) {
      if (nowMs - sinceMs < this.timing.settleMs)
        settledToken = Math.min(settledToken, token - 1);
    }
    return settledToken;
  }

  /** Returns a rate in requests per second, corrected for observation times shorter than the decay time. */
  private getRate(weight: number, sinceMs: number, nowMs: number): number {
    const observedMs = nowMs - Math.max(sinceMs, this.startedAtMs);
    const {decayMs} = this.timing;
    const effectiveMs = decayMs * (1 - Math.exp(-observedMs / decayMs));
    if (effectiveMs <= 0) return 0;
    return ((weight / this.weight) * MS_PER_SECOND) / effectiveMs;
  }

  private updateWeight(nowMs: number): void {
    this.weight *= Math.exp(
      (nowMs - this.weightUpdatedAtMs) / this.timing.decayMs,
    );
    this.weightUpdatedAtMs = nowMs;
    if (this.weight < MAX_WEIGHT) return;
    const factor = 1 / this.weight;
    for (const counter of this.counters.values())
      counter.bins.applyFactor(factor);
    this.sketch.applyFactor(factor);
    this.weight = 1;
  }
}

/** Lists the segments that deviate most from the mean density; the others are reported as one density. */
function selectOutliers(
  rates: readonly ReportedSegment[],
): Pick<LoadReport, 'segments' | 'restDensity'> {
  const width = rates.reduce((sum, one) => sum + getWidth(one), 0);
  const total = rates.reduce((sum, {rate}) => sum + rate, 0);
  const density = width === 0 ? 0 : total / width;
  const getDeviation = (one: ReportedSegment) =>
    Math.abs(one.rate - density * getWidth(one));
  const ordered = [...rates].sort((a, b) => getDeviation(b) - getDeviation(a));
  const segments = ordered.slice(0, MAX_REPORTED_SEGMENTS);
  const rest = ordered.slice(MAX_REPORTED_SEGMENTS);
  const restWidth = rest.reduce((sum, one) => sum + getWidth(one), 0);
  const restRate = rest.reduce((sum, {rate}) => sum + rate, 0);
  return {
    segments: segments.sort((a, b) => a.start - b.start),
    restDensity: restWidth === 0 ? 0 : restRate / restWidth,
  };
}

function getWidth({start, end}: PositionRange): number {
  return Math.min(end, RING_SIZE) - start;
}

function isWithin(position: number, {start, end}: PositionRange): boolean {
  return start <= position && position < end;
}
