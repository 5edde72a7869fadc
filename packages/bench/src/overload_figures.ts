/**
 * Figures of one run of the overload model.
 */
import type {ModelResult} from './overload_model.js';

/** Figures of a run. */
export interface OverloadFigures {
  /** Slot time of answers in time, as a share of all slot time. */
  readonly goodput: number;
  /** Short requests answered in time, as a share of those that were sent. */
  readonly shortServed: number;
  readonly shortP50Ms: number;
  readonly shortP99Ms: number;
  /** Share of all requests that were refused. */
  readonly refused: number;
  /** Answers that came after the deadline, as a share of all requests. */
  readonly late: number;
  /** Share served of the requests of callers other than the hot one. */
  readonly otherCallersServed: number;
}

/** The stretch of a run that figures are taken from, by the time of arrival. */
export interface Stretch {
  readonly fromMs: number;
  readonly toMs: number;
}

const RECOVERY_STEP_MS = 10;
const RECOVERY_WINDOW_MS = 250;
/** Part of the short requests of a window that are served once the server has recovered. */
const RECOVERED_SHARE = 0.95;

/** Computes the figures of a stretch. Stragglers do not count as short work. */
export function computeFigures(
  results: readonly ModelResult[],
  slots: number,
  stretch: Stretch,
): OverloadFigures {
  const inside = results.filter(
    ({arrivedAtMs}) =>
      arrivedAtMs >= stretch.fromMs && arrivedAtMs < stretch.toMs,
  );
  const short = inside.filter(result => result.isShort && !result.isStraggler);
  const others = inside.filter(result => !result.isHotCaller);
  const latencies = short
    .flatMap(({latencyMs}) => (latencyMs === undefined ? [] : [latencyMs]))
    .sort((a, b) => a - b);
  const goodMs = inside
    .filter(result => result.isInTime)
    .reduce((sum, result) => sum + result.serviceMs, 0);
  return {
    goodput: goodMs / (slots * (stretch.toMs - stretch.fromMs)),
    shortServed: computeShare(short, result => result.isInTime),
    shortP50Ms: findPercentile(latencies, 0.5),
    shortP99Ms: findPercentile(latencies, 0.99),
    refused: computeShare(inside, result => result.latencyMs === undefined),
    late: computeShare(
      inside,
      result => result.latencyMs !== undefined && !result.isInTime,
    ),
    otherCallersServed: computeShare(others, result => result.isInTime),
  };
}

/**
 * Returns the time after `fromMs` at which the first window begins in which short requests are served
 * within `boundMs` again.
 */
export function computeRecoveryMs(
  results: readonly ModelResult[],
  {fromMs, toMs}: Stretch,
  boundMs: number,
): number {
  const short = results.filter(result => result.isShort && !result.isStraggler);
  for (let atMs = fromMs; atMs < toMs; atMs += RECOVERY_STEP_MS) {
    const window = short.filter(
      ({arrivedAtMs}) =>
        arrivedAtMs >= atMs && arrivedAtMs < atMs + RECOVERY_WINDOW_MS,
    );
    const served = computeShare(
      window,
      ({latencyMs}) => latencyMs !== undefined && latencyMs <= boundMs,
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
