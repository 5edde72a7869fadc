/**
 * Tells running requests that take longer than is usual for their kind: nobody knows when they end.
 */
import type {RunningRequest} from './kind_state.js';

/** Multiple of the usual service time of its kind from which a running request is overdue. */
const OVERDUE_MULTIPLE = 4;
/** Least age of an overdue request: pauses of this process are shorter. */
const MIN_OVERDUE_MS = 100;

/** Tells whether a running request has outlived what is usual for its kind. */
export function isOverdue(running: RunningRequest, nowMs: number): boolean {
  const usualMs = running.kind.estimate.getUsualMs() * OVERDUE_MULTIPLE;
  return nowMs - running.startedAtMs >= Math.max(MIN_OVERDUE_MS, usualMs);
}
