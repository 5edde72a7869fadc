/**
 * Decides whether a request is sent once more. A request that may have run is sent again only when
 * it is idempotent; one that was certainly not run may always be.
 */
import type {AttemptFailure} from './types.js';

/** What the decision rests on. */
export interface RetryInput {
  readonly failure: AttemptFailure;
  readonly isIdempotent: boolean;
  /** Attempts made that may have run. */
  readonly attemptsMade: number;
  readonly maxAttempts: number;
  /** Whether the whole body is still at hand. */
  readonly isBodyKept: boolean;
  readonly remainingMs: number;
  readonly delayMs: number;
}

/** Tells whether another attempt is allowed and can be made in time. */
export function isRetryAllowed(input: RetryInput): boolean {
  if (!input.isBodyKept || input.remainingMs <= input.delayMs) return false;
  if (input.failure.outcome === 'not-run') return true;
  return input.isIdempotent && input.attemptsMade < input.maxAttempts;
}

const FIRST_DELAY_MS = 5;
const MAX_DELAY_MS = 200;

/** Returns the delay before a retry: exponential, with full jitter. `random` is from 0 to 1. */
export function getRetryDelayMs(
  retriesMade: number,
  retryAfterMs: number,
  random: number,
): number {
  const limit = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** retriesMade);
  return Math.max(Math.min(retryAfterMs, MAX_DELAY_MS), limit * random);
}
