/**
 * Decides whether a request is sent once more. A request that may have run is sent again only when
 * it is idempotent; one that was certainly not run may always be. What is told at the end covers
 * every attempt, not just the last.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';

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

/** Refusals that another try within the same request would only meet again. */
const FINAL_CODES: ReadonlySet<MessageCode> = new Set([
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
]);

/** Tells whether another attempt is allowed and can be made in time. */
export function isRetryAllowed(input: RetryInput): boolean {
  if (FINAL_CODES.has(input.failure.code)) return false;
  if (!input.isBodyKept || input.remainingMs <= input.delayMs) return false;
  if (input.failure.outcome === 'not-run') return true;
  return input.isIdempotent && input.attemptsMade < input.maxAttempts;
}

/** Refusals by a daemon that has no room, or no server, for a request that another host may take. */
const ELSEWHERE_CODES: ReadonlySet<MessageCode> = new Set([
  'DD3005',
  'DD3008',
  'DD3011',
  'DD3012',
  'DD3016',
  'DD3021',
  'DD3024',
  'DD3025',
  'DD3034',
]);

/**
 * Tells whether a request that any host may run is worth offering to another host at once. No server
 * has seen it, so the offer costs a call between daemons and nothing of the retry budget.
 */
export function isWorthElsewhere({outcome, code}: AttemptFailure): boolean {
  return outcome === 'not-run' && ELSEWHERE_CODES.has(code);
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

/** Returns the failure that covers all attempts: a last refusal does not undo an earlier run. */
export function mergeFailure(
  mayHaveRun: boolean,
  last: AttemptFailure,
): AttemptFailure {
  return mayHaveRun ? {...last, outcome: 'unknown'} : last;
}

/** Where an attempt was refused. */
export interface RefusedAttempt {
  readonly failure: AttemptFailure;
  readonly host: string;
  readonly isLocal: boolean;
}

/** Where the next attempt would go. */
export interface NextAttempt {
  readonly host: string;
  /** Generation of the route; 0 when the request may go to any host. */
  readonly generation: number;
}

/** Cost of sending a refused request again. */
export type ResendCost = 'free' | 'budget' | 'never';

/**
 * Returns what it costs to send a request again that was refused. It is free where it puts no load
 * on others, or where the key has another owner since. It is never done while this daemon's route is
 * known to be older than the owner's.
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
