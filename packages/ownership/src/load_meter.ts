/**
 * Counts the requests that an owner admits to its slices of one service, with rates that decay, and
 * writes the report that placement is decided from.
 *
 * Decay is forward: a request weighs more the later it comes, and reading divides by the present
 * weight, so that counting is one addition.
 */
import {RING_SIZE} from '@dottereldrift/core/ring_hash.js';
import type {Member, Token} from '@dottereldrift/core/types.js';

import {HotPositions} from './hot_positions.js';
import {LoadBins} from './load_bins.js';
import type {LoadReport, PositionRate, ReportedSegment} from './load_types.js';
import {getSliceEnd, isOwnedBy} from './slices.js';
import type {Assignment} from './types.js';

/** How fast a meter follows the load. */
export interface MeterPace {
  /** Time constant of the decay, in milliseconds. */
  readonly decayMs: number;
  /** Time that a slice is observed before its load is reported, in milliseconds. */
  readonly settleMs: number;
}

/** Follows load that drifts, with little noise. */
export const STEADY_PACE: MeterPace = {decayMs: 20_000, settleMs: 5_000};
/** Most stretches that a report lists: four slices in parts, and as many notable ones. */
export const MAX_REPORTED_SEGMENTS = 64;
/** Share of an owner's load from which a slice is reported in parts: below the one that cuts it. */
const MIN_DIVIDED_SHARE = 0.08;
/** Most hot positions that a report lists. */
export const MAX_REPORTED_POSITIONS = 16;

const MS_PER_SECOND = 1_000;
const HOT_COUNTERS = 128;
/** Share of an owner's load from which a position is hot. */
const MIN_HOT_SHARE = 0.01;
const MAX_WEIGHT = 1e9;
/** Time for which requests weigh the same. */
const WEIGHT_INTERVAL_MS = 50;

interface SliceCounter {
  readonly start: number;
  readonly end: number;
  readonly token: Token;
  readonly sinceMs: number;
  readonly bins: LoadBins;
}

/** Positions from the start up to, not including, the end. */
type Stretch = Pick<ReportedSegment, 'start' | 'end'>;

/** Counts the load of one service at its owner. */
export class LoadMeter {
  private counters = new Map<number, SliceCounter>();
  private readonly hot = new HotPositions(HOT_COUNTERS);
  private weight = 1;
  private weighedAtMs: number;
  private readonly startedAtMs: number;

  constructor(
    nowMs: number,
    private readonly pace: MeterPace = STEADY_PACE,
  ) {
    this.weighedAtMs = nowMs;
    this.startedAtMs = nowMs;
  }

  /** Counts a request at a position of a slice, given by its start. */
  addRequest(start: number, position: number, nowMs: number): void {
    if (nowMs - this.weighedAtMs >= WEIGHT_INTERVAL_MS)
      this.updateWeight(nowMs);
    const counter = this.counters.get(start);
    if (counter === undefined) return;
    counter.bins.addWeight(position, this.weight);
    this.hot.addWeight(position, this.weight);
  }

  /** Follows a new assignment; slices that were cut or merged keep what was counted. */
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

  /** Returns the requests a second of the slices that a report covers. */
  getSettledRate(nowMs: number): number {
    this.updateWeight(nowMs);
    return this.listSettled(nowMs).reduce(
      (sum, {bins, sinceMs}) =>
        sum + this.getRate(bins.getTotal(), sinceMs, nowMs),
      0,
    );
  }

  /** Returns what the owner reports. */
  readReport(service: string, owner: Member, nowMs: number): LoadReport {
    this.updateWeight(nowMs);
    const settled = this.listSettled(nowMs);
    const hotPositions = this.listHotPositions(settled, nowMs);
    const total = settled.reduce((sum, {bins}) => sum + bins.getTotal(), 0);
    const rates = settled.flatMap(counter =>
      this.listRates(counter, hotPositions, total * MIN_DIVIDED_SHARE, nowMs),
    );
    return {
      service,
      owner,
      settledToken: this.getSettledToken(nowMs),
      ...selectNotable(rates),
      hotPositions,
    };
  }

  /** Returns the rate of a slice without its hot positions, in parts where it is heavy. */
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
      const own = this.getRate(part.weight, sinceMs, nowMs);
      const hotRate = hotPositions
        .filter(hot => isWithin(hot.position, part))
        .reduce((sum, hot) => sum + hot.rate, 0);
      const rate = Math.max(0, own - hotRate);
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
    const same = this.counters.get(start);
    if (same !== undefined && same.end === end) return {...same, token};
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
    for (const counter of overlapping) bins.takeOver(counter.bins);
    const sinceMs = Math.min(...overlapping.map(counter => counter.sinceMs));
    return {start, end, token, sinceMs, bins};
  }

  private listHotPositions(settled: readonly SliceCounter[], nowMs: number) {
    const total = settled.reduce((sum, {bins}) => sum + bins.getTotal(), 0);
    return this.hot
      .listHottest(MAX_REPORTED_POSITIONS, total * MIN_HOT_SHARE)
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
      counter => nowMs - counter.sinceMs >= this.pace.settleMs,
    );
  }

  private getSettledToken(nowMs: number): Token {
    let settledToken = Number.MAX_SAFE_INTEGER;
    for (const {token, sinceMs} of this.counters.values()) {
      if (nowMs - sinceMs < this.pace.settleMs)
        settledToken = Math.min(settledToken, token - 1);
    }
    return settledToken;
  }

  /** Returns requests a second; the divisor allows for a short time of observation. */
  private getRate(weight: number, sinceMs: number, nowMs: number): number {
    const observedMs = nowMs - Math.max(sinceMs, this.startedAtMs);
    const {decayMs} = this.pace;
    const effectiveMs = decayMs * (1 - Math.exp(-observedMs / decayMs));
    if (effectiveMs <= 0) return 0;
    return ((weight / this.weight) * MS_PER_SECOND) / effectiveMs;
  }

  private updateWeight(nowMs: number): void {
    this.weight *= Math.exp((nowMs - this.weighedAtMs) / this.pace.decayMs);
    this.weighedAtMs = nowMs;
    if (this.weight < MAX_WEIGHT) return;
    const factor = 1 / this.weight;
    for (const counter of this.counters.values())
      counter.bins.applyFactor(factor);
    this.hot.applyFactor(factor);
    this.weight = 1;
  }
}

/** Lists the stretches whose rates differ most from an even share; the rest share one density. */
function selectNotable(
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

function getWidth({start, end}: Stretch): number {
  return Math.min(end, RING_SIZE) - start;
}

function isWithin(position: number, {start, end}: Stretch): boolean {
  return start <= position && position < end;
}
