/**
 * Counts good and bad results of each kind of request, and reports the burn rate of its error budget.
 */
import type {System} from '@dottereldrift/core/system.js';

import type {AttemptResult, Exchange} from './exchange.js';

const MINUTE_MS = 60_000;
const BUCKET_MS = MINUTE_MS;
const MAX_BUCKETS = 360;
const BUCKETS_PER_POINT = 5;

const SHORT_WINDOW_MS = 5 * MINUTE_MS;
const HALF_HOUR_MS = 30 * MINUTE_MS;
const HOUR_MS = 60 * MINUTE_MS;
const LONG_WINDOW_MS = 360 * MINUTE_MS;
const WINDOWS_MS = [SHORT_WINDOW_MS, HALF_HOUR_MS, HOUR_MS, LONG_WINDOW_MS];

/** Burn rate that spends 2% of a 30-day error budget in an hour. */
const FAST_BURN = 14.4;
/** Burn rate that spends 5% of a 30-day error budget in six hours. */
const SLOW_BURN = 6;

/** Burn rate over one window; 1 spends the error budget exactly as fast as the objective allows. */
export interface WindowBurn {
  readonly windowMs: number;
  readonly good: number;
  readonly bad: number;
  readonly burn: number;
}

/** Counts of one interval of the reported hours. */
export interface BurnPoint {
  /** Time from the start of the interval until now. */
  readonly ageMs: number;
  readonly good: number;
  readonly bad: number;
}

/** Alert level of the burn rate. */
export type BurnLevel = 'none' | 'slow' | 'fast';

/** Burn report of one kind of request. */
export interface KindReport {
  readonly service: string;
  readonly kind: string;
  readonly objective: number;
  /** Raised only when a long and a short window both exceed the threshold. */
  readonly level: BurnLevel;
  readonly windows: readonly WindowBurn[];
  /** Oldest first; intervals without requests are omitted. */
  readonly points: readonly BurnPoint[];
}

interface Bucket {
  readonly number: number;
  good: number;
  bad: number;
}

interface Series {
  readonly service: string;
  readonly kind: string;
  objective: number;
  buckets: Bucket[];
}

/** Counts the results of requests for which this daemon is the entry. */
export class BurnReport {
  private readonly series = new Map<string, Series>();

  constructor(private readonly system: System) {}

  /** Counts a request: good if the response was complete, in time and not a server error. */
  observe(exchange: Exchange, result: AttemptResult): void {
    const nowMs = this.system.getNow().monotonicMs;
    const isInTime = nowMs <= exchange.deadlineAtMs;
    const isGood =
      result.kind === 'answered' &&
      !result.isTruncated &&
      result.status < 500 &&
      isInTime;
    const bucket = this.getBucket(exchange, Math.floor(nowMs / BUCKET_MS));
    if (isGood) bucket.good += 1;
    else bucket.bad += 1;
  }

  readReport(): readonly KindReport[] {
    const currentNumber = Math.floor(
      this.system.getNow().monotonicMs / BUCKET_MS,
    );
    return [...this.series.values()].map(series =>
      createKindReport(series, currentNumber),
    );
  }

  private getBucket(exchange: Exchange, number: number): Bucket {
    const name = `${exchange.target.service}/${exchange.kind.name}`;
    let series = this.series.get(name);
    if (series === undefined) {
      const {service} = exchange.target;
      const {name: kind, objective} = exchange.kind;
      series = {service, kind, objective, buckets: []};
      this.series.set(name, series);
    }
    series.objective = exchange.kind.objective;
    const last = series.buckets[series.buckets.length - 1];
    if (last?.number === number) return last;
    const bucket = {number, good: 0, bad: 0};
    series.buckets.push(bucket);
    if (series.buckets.length > MAX_BUCKETS) series.buckets.shift();
    return bucket;
  }
}

function createKindReport(series: Series, currentNumber: number): KindReport {
  const {service, kind, objective, buckets} = series;
  const windows = WINDOWS_MS.map(windowMs =>
    sumWindow(buckets, currentNumber, windowMs, objective),
  );
  const level = computeBurnLevel(windows);
  const points = sumPoints(buckets, currentNumber);
  return {service, kind, objective, level, windows, points};
}

function computeBurnLevel(windows: readonly WindowBurn[]): BurnLevel {
  const isBurning = (windowMs: number, burn: number) =>
    windows.some(window => window.windowMs === windowMs && window.burn >= burn);
  if (isBurning(HOUR_MS, FAST_BURN) && isBurning(SHORT_WINDOW_MS, FAST_BURN))
    return 'fast';
  const isSlow =
    isBurning(LONG_WINDOW_MS, SLOW_BURN) && isBurning(HALF_HOUR_MS, SLOW_BURN);
  return isSlow ? 'slow' : 'none';
}

function sumPoints(
  buckets: readonly Bucket[],
  currentNumber: number,
): readonly BurnPoint[] {
  const points = new Map<number, BurnPoint>();
  for (const {number, good, bad} of buckets) {
    const age = Math.floor((currentNumber - number) / BUCKETS_PER_POINT);
    if (age * BUCKETS_PER_POINT >= MAX_BUCKETS) continue;
    const ageMs = (age + 1) * BUCKETS_PER_POINT * BUCKET_MS;
    const point = points.get(age) ?? {ageMs, good: 0, bad: 0};
    points.set(age, {
      ageMs,
      good: point.good + good,
      bad: point.bad + bad,
    });
  }
  return [...points.values()];
}

function sumWindow(
  buckets: readonly Bucket[],
  currentNumber: number,
  windowMs: number,
  objective: number,
): WindowBurn {
  const firstNumber = currentNumber - windowMs / BUCKET_MS + 1;
  const inWindow = buckets.filter(bucket => bucket.number >= firstNumber);
  const good = inWindow.reduce((sum, bucket) => sum + bucket.good, 0);
  const bad = inWindow.reduce((sum, bucket) => sum + bucket.bad, 0);
  const total = good + bad;
  const burn = total === 0 ? 0 : bad / total / (1 - objective);
  return {windowMs, good, bad, burn};
}
