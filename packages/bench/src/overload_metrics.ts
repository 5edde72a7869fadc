/**
 * Computes the metrics of one run of the overload model.
 */
import type {ModelResult} from './overload_model.js';

/** Metrics of a run. */
export interface OverloadMetrics {
  /** Slot time of requests answered by their deadline, as a share of all slot time. */
  readonly goodput: number;
  /** Share of the short requests that were answered by their deadline. */
  readonly shortServed: number;
  readonly shortP50Ms: number;
  readonly shortP99Ms: number;
  /** Share of all requests that were refused. */
  readonly refused: number;
  /** Share of all requests that were answered after their deadline. */
  readonly late: number;
  /** Share of the requests of callers other than the hot one that were answered by their deadline. */
  readonly otherCallersServed: number;
}

/** A half-open range of arrival times. */
export interface TimeRange {
  readonly fromMs: number;
  readonly toMs: number;
}

const RECOVERY_STEP_MS = 10;
const RECOVERY_WINDOW_MS = 250;
/** Share of the short requests in a window that must be served for the server to count as recovered. */
const RECOVERED_SHARE = 0.95;

/** Computes the metrics of a time range. Stragglers do not count as short requests. */
export function computeMetrics(
  results: readonly ModelResult[],
  slots: number,
  range: TimeRange,
): OverloadMetrics {
  const inRange = results.filter(
    ({arrivedAtMs}) => arrivedAtMs >= range.fromMs && arrivedAtMs < range.toMs,
  );
  const short = inRange.filter(result => result.isShort && !result.isStraggler);
  const others = inRange.filter(result => !result.isHotCaller);
  const latencies = short
    .flatMap(({latencyMs}) => (latencyMs === undefined ? [] : [latencyMs]))
    .sort((a, b) => a - b);
  const onTimeServiceMs = inRange
    .filter(result => result.isOnTime)
    .reduce((sum, result) => sum + result.serviceMs, 0);
  return {
    goodput: onTimeServiceMs / (slots * (range.toMs - range.fromMs)),
    shortServed: computeShare(short, result => result.isOnTime),
    shortP50Ms: findPercentile(latencies, 0.5),
    shortP99Ms: findPercentile(latencies, 0.99),
    refused: computeShare(inRange, result => result.latencyMs === undefined),
    late: computeShare(
      inRange,
      result => result.latencyMs !== undefined && !result.isOnTime,
    ),
    otherCallersServed: computeShare(others, result => result.isOnTime),
  };
}

/**
 * Returns the time from the start of the range to the first window in which short requests are served
 * within the latency limit again.
 */
export function computeRecoveryMs(
  results: readonly ModelResult[],
  {fromMs, toMs}: TimeRange,
  latencyLimitMs: number,
): number {
  const short = results.filter(result => result.isShort && !result.isStraggler);
  for (let atMs = fromMs; atMs < toMs; atMs += RECOVERY_STEP_MS) {
    const window = short.filter(
      ({arrivedAtMs}) =>
        arrivedAtMs >= atMs && arrivedAtMs < atMs + RECOVERY_WINDOW_MS,
    );
    const served = computeShare(
      window,
      ({latencyMs}) => latencyMs !== undefined && latencyMs <= latencyLimitMs,
    );
    if (served >= RECOVERED_SHARE) return atMs - fromMs;
  }
  return toMs - fromMs;
}

function computeShare(
  results: readonly ModelResult[],
  isCounted: (result: ModelResult) => boolean,
): number {
  if (results.length === 0) return 1;
  return results.filter(isCounted).length / results.length;
}

function findPercentile(sorted: readonly number[], share: number): number {
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? 0;
}
