/**
 * Decides whether a request is retried. A request that may have run is retried only if it is
 * idempotent; one that certainly did not run may always be. The reported outcome covers all attempts,
 * not only the last.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';

import type {AttemptFailure} from './types.js';

/** Inputs of the decision. */
export interface RetryInput {
  readonly failure: AttemptFailure;
  readonly isIdempotent: boolean;
  /** Number of attempts so far that may have run. */
  readonly attemptsMade: number;
  readonly maxAttempts: number;
  /** Whether the whole body is still buffered. */
  readonly isBodyKept: boolean;
  readonly remainingMs: number;
  readonly delayMs: number;
}

/** Codes that are not retried, because another attempt of the same request would fail alike. */
const NON_RETRYABLE_CODES: ReadonlySet<MessageCode> = new Set([
  'DD3006',
  'DD3011',
  'DD3012',
  'DD3015',
  'DD3018',
  'DD3019',
  'DD3022',
  'DD3025',
  'DD3027',
  'DD3029',
  'DD3035',
]);

/** Returns whether another attempt is allowed and can start before the deadline. */
export function isRetryAllowed(input: RetryInput): boolean {
  if (NON_RETRYABLE_CODES.has(input.failure.code)) return false;
  if (!input.isBodyKept || input.remainingMs <= input.delayMs) return false;
  if (input.failure.outcome === 'not-run') return true;
  return input.isIdempotent && input.attemptsMade < input.maxAttempts;
}

/** Refusals for lack of capacity or of a server, where another host may accept the request. */
const RETRYABLE_ELSEWHERE_CODES: ReadonlySet<MessageCode> = new Set([
  'DD3005',
  'DD3008',
  'DD3011',
  'DD3012',
  'DD3016',
  'DD3021',
  'DD3024',
  'DD3025',
  'DD3034',
  'DD3035',
]);

/**
 * Returns whether a request that any host may run is offered to another host immediately. No server has
 * seen it, so the offer costs a call between daemons but nothing of the retry budget.
 */
export function isRetryableElsewhere({outcome, code}: AttemptFailure): boolean {
  return outcome === 'not-run' && RETRYABLE_ELSEWHERE_CODES.has(code);
}

const FIRST_DELAY_MS = 5;
const MAX_DELAY_MS = 200;

/** Returns the delay before a retry: exponential backoff with full jitter. `random` is from 0 to 1. */
export function getRetryDelayMs(
  retriesMade: number,
  retryAfterMs: number,
  random: number,
): number {
  const limitMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** retriesMade);
  return Math.max(Math.min(retryAfterMs, MAX_DELAY_MS), limitMs * random);
}

/** Merges the failures of all attempts: if an earlier one may have run, the outcome is unknown. */
export function mergeFailure(
  mayHaveRunBefore: boolean,
  last: AttemptFailure,
): AttemptFailure {
  return mayHaveRunBefore ? {...last, outcome: 'unknown'} : last;
}

/** A refused attempt and the host that refused it. */
export interface RefusedAttempt {
  readonly failure: AttemptFailure;
  readonly host: string;
  readonly isLocal: boolean;
}

/** Destination of the next attempt. */
export interface NextAttempt {
  readonly host: string;
  /** Generation of the route; 0 if any host may run the request. */
  readonly generation: number;
}

/** Cost of resending a refused request: none, one retry of the budget, or not allowed. */
export type ResendCost = 'free' | 'budget' | 'never';

/**
 * Returns the cost of resending a refused request. It is free if it puts no load on other hosts, or if
 * the key has moved to another owner. It is not allowed while this daemon's route is known to be older
 * than the owner's.
 */
export function getResendCost(
  refused: RefusedAttempt,
  next: NextAttempt,
): ResendCost {
  const {failure} = refused;
  const isStale = next.generation < (failure.ownerGeneration ?? 0);
  if (failure.code === 'DD3017' && isStale) return 'never';
  if (next.generation > 0 && next.host !== refused.host) return 'free';
  return refused.isLocal && failure.code !== 'DD3010' ? 'free' : 'budget';
}
