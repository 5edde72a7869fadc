/**
 * Counts good and bad answers of each kind of request, for the report on service-level burn.
 */
import type {System} from '@dottereldrift/core/system.js';

import type {AttemptResult, Exchange} from './exchange.js';

const BUCKET_MS = 10_000;
const WINDOWS_MS: readonly number[] = [60_000, 300_000, 3_600_000];
const KEPT_BUCKETS = 3_600_000 / BUCKET_MS;

/** Burn over one window. 1 spends the error budget exactly as fast as the objective allows. */
export interface WindowBurn {
  readonly windowMs: number;
  readonly good: number;
  readonly bad: number;
  readonly burn: number;
}

/** Report on one kind of request. */
export interface KindReport {
  readonly service: string;
  readonly kind: string;
  readonly objective: number;
  readonly windows: readonly WindowBurn[];
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

/** Keeps the counts of this daemon as an entry. */
export class BurnReport {
  private readonly series = new Map<string, Series>();

  constructor(private readonly system: System) {}

  /** Counts a request: good when a server answered it whole, in time and without an error. */
  observe(exchange: Exchange, result: AttemptResult): void {
    const nowMs = this.system.getNow().monotonicMs;
    const isInTime = nowMs <= exchange.deadlineAtMs;
    const isGood =
      result.kind === 'answered' &&
      !result.isCut &&
      result.status < 500 &&
      isInTime;
    const bucket = this.getBucket(exchange, Math.floor(nowMs / BUCKET_MS));
    if (isGood) bucket.good += 1;
    else bucket.bad += 1;
  }

  readReport(): readonly KindReport[] {
    const nowNumber = Math.floor(this.system.getNow().monotonicMs / BUCKET_MS);
    return [...this.series.values()].map(
      ({service, kind, objective, buckets}) => ({
        service,
        kind,
        objective,
        windows: WINDOWS_MS.map(windowMs =>
          sumWindow(buckets, nowNumber, windowMs, objective),
        ),
      }),
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
    if (series.buckets.length > KEPT_BUCKETS) series.buckets.shift();
    return bucket;
  }
}

function sumWindow(
  buckets: readonly Bucket[],
  nowNumber: number,
  windowMs: number,
  objective: number,
): WindowBurn {
  const firstNumber = nowNumber - windowMs / BUCKET_MS + 1;
  const inWindow = buckets.filter(bucket => bucket.number >= firstNumber);
  const good = inWindow.reduce((sum, bucket) => sum + bucket.good, 0);
  const bad = inWindow.reduce((sum, bucket) => sum + bucket.bad, 0);
  const total = good + bad;
  const burn = total === 0 ? 0 : bad / total / (1 - objective);
  return {windowMs, good, bad, burn};
}
