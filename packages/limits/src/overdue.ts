/**
 * Detects running requests that take much longer than their kind usually does. No estimate of when
 * they will end is possible.
 */
import type {RunningRequest} from './kind_state.js';

/** Multiple of the 90th-percentile service time of its kind from which a request is overdue. */
const OVERDUE_MULTIPLE = 4;
/** Minimum age of an overdue request; longer than pauses of this process. */
const MIN_OVERDUE_MS = 100;

/** Returns whether a running request has exceeded the limit for its kind. */
export function isOverdue(running: RunningRequest, nowMs: number): boolean {
  const limitMs = running.kind.estimate.getP90Ms() * OVERDUE_MULTIPLE;
  return nowMs - running.startedAtMs >= Math.max(MIN_OVERDUE_MS, limitMs);
}
