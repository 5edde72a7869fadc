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
import type {LoadReport, ReportedSegment} from './load_types.js';
import {getSliceEnd, isOwnedBy} from './slices.js';
import type {Assignment} from './types.js';

/** Time constant of the decay. */
export const DECAY_MS = 20_000;
/** Time that a slice is observed before its load is reported. */
export const SETTLE_MS = 5_000;
/** Most slices that a report lists. */
export const MAX_REPORTED_SEGMENTS = 32;
/** Most hot positions that a report lists. */
export const MAX_REPORTED_POSITIONS = 16;

const MS_PER_SECOND = 1_000;
const HOT_COUNTERS = 128;
/** Share of an owner's load from which a position is hot. */
const MIN_HOT_SHARE = 0.01;
const MAX_WEIGHT = 1e9;

interface SliceCounter {
  readonly start: number;
  readonly end: number;
  readonly token: Token;
  readonly sinceMs: number;
  weight: number;
}

/** Counts the load of one service at its owner. */
export class LoadMeter {
  private counters = new Map<number, SliceCounter>();
  private readonly hot = new HotPositions(HOT_COUNTERS);
  private weight = 1;
  private weighedAtMs: number;
  private readonly startedAtMs: number;

  constructor(nowMs: number) {
    this.weighedAtMs = nowMs;
    this.startedAtMs = nowMs;
  }

  /** Counts a request at a position of a slice, given by its start. */
  addRequest(start: number, position: number, nowMs: number): void {
    if (nowMs !== this.weighedAtMs) this.updateWeight(nowMs);
    const counter = this.counters.get(start);
    if (counter === undefined) return;
    counter.weight += this.weight;
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

  /** Returns what the owner reports. */
  readReport(service: string, owner: Member, nowMs: number): LoadReport {
    this.updateWeight(nowMs);
    const settled = [...this.counters.values()].filter(
      counter => nowMs - counter.sinceMs >= SETTLE_MS,
    );
    const hotPositions = this.listHotPositions(settled, nowMs);
    const rates = settled.map(counter => {
      const own = this.getRate(counter.weight, counter.sinceMs, nowMs);
      const hotRate = hotPositions
        .filter(hot => isWithin(hot.position, counter))
        .reduce((sum, hot) => sum + hot.rate, 0);
      return {counter, rate: Math.max(0, own - hotRate)};
    });
    return {
      service,
      owner,
      settledToken: this.getSettledToken(nowMs),
      ...selectNotable(rates),
      hotPositions,
    };
  }

  private createCounter(
    start: number,
    end: number,
    token: Token,
    nowMs: number,
    before: readonly SliceCounter[],
  ): SliceCounter {
    const same = this.counters.get(start);
    if (same !== undefined && same.end === end)
      return {...same, token, weight: same.weight};
    const overlapping = before.filter(
      counter => counter.start < end && start < counter.end,
    );
    const weight = overlapping.reduce((sum, counter) => {
      const from = Math.max(start, counter.start);
      const to = Math.min(end, counter.end);
      return (
        sum + counter.weight * ((to - from) / (counter.end - counter.start))
      );
    }, 0);
    const covered = overlapping.reduce(
      (sum, counter) =>
        sum + Math.min(end, counter.end) - Math.max(start, counter.start),
      0,
    );
    const isCovered = covered === end - start;
    const sinceMs = isCovered
      ? Math.min(...overlapping.map(counter => counter.sinceMs))
      : nowMs;
    return {start, end, token, sinceMs, weight: isCovered ? weight : 0};
  }

  private listHotPositions(settled: readonly SliceCounter[], nowMs: number) {
    const total = settled.reduce((sum, counter) => sum + counter.weight, 0);
    return this.hot
      .listHottest(MAX_REPORTED_POSITIONS, total * MIN_HOT_SHARE)
      .flatMap(({position, weight}) => {
        const counter = settled.find(other => isWithin(position, other));
        if (counter === undefined) return [];
        const bounded = Math.min(weight, counter.weight);
        const rate = this.getRate(bounded, counter.sinceMs, nowMs);
        return rate > 0 ? [{position, rate}] : [];
      });
  }

  private getSettledToken(nowMs: number): Token {
    let settledToken = Number.MAX_SAFE_INTEGER;
    for (const {token, sinceMs} of this.counters.values()) {
      if (nowMs - sinceMs < SETTLE_MS)
        settledToken = Math.min(settledToken, token - 1);
    }
    return settledToken;
  }

  /** Returns requests a second; the divisor allows for a short time of observation. */
  private getRate(weight: number, sinceMs: number, nowMs: number): number {
    const observedMs = nowMs - Math.max(sinceMs, this.startedAtMs);
    const effectiveMs = DECAY_MS * (1 - Math.exp(-observedMs / DECAY_MS));
    if (effectiveMs <= 0) return 0;
    return ((weight / this.weight) * MS_PER_SECOND) / effectiveMs;
  }

  private updateWeight(nowMs: number): void {
    this.weight *= Math.exp((nowMs - this.weighedAtMs) / DECAY_MS);
    this.weighedAtMs = nowMs;
    if (this.weight < MAX_WEIGHT) return;
    const factor = 1 / this.weight;
    for (const counter of this.counters.values()) counter.weight *= factor;
    this.hot.applyFactor(factor);
    this.weight = 1;
  }
}

interface CounterRate {
  readonly counter: SliceCounter;
  readonly rate: number;
}

/** Lists the slices whose rates differ most from an even share; the rest share one density. */
function selectNotable(
  rates: readonly CounterRate[],
): Pick<LoadReport, 'segments' | 'restDensity'> {
  const width = rates.reduce((sum, {counter}) => sum + getWidth(counter), 0);
  const total = rates.reduce((sum, {rate}) => sum + rate, 0);
  const density = width === 0 ? 0 : total / width;
  const getDeviation = ({counter, rate}: CounterRate) =>
    Math.abs(rate - density * getWidth(counter));
  const ordered = [...rates].sort((a, b) => getDeviation(b) - getDeviation(a));
  const listed = ordered.slice(0, MAX_REPORTED_SEGMENTS);
  const rest = ordered.slice(MAX_REPORTED_SEGMENTS);
  const restWidth = rest.reduce((sum, {counter}) => sum + getWidth(counter), 0);
  const restRate = rest.reduce((sum, {rate}) => sum + rate, 0);
  const segments = listed.map(({counter, rate}): ReportedSegment => {
    return {start: counter.start, end: counter.end, rate};
  });
  return {
    segments: segments.sort((a, b) => a.start - b.start),
    restDensity: restWidth === 0 ? 0 : restRate / restWidth,
  };
}

function getWidth({start, end}: SliceCounter): number {
  return Math.min(end, RING_SIZE) - start;
}

function isWithin(position: number, {start, end}: SliceCounter): boolean {
  return start <= position && position < end;
}
