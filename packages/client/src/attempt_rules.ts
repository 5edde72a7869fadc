/**
 * Retry rules of the embedded client. Daemons retry within the deadline themselves, so the client tries
 * another daemon only if the first is unreachable or currently runs no requests.
 */
import type {Outcome} from '@dottereldrift/core/types.js';

import type {ClientResult} from './types.js';

/** Codes for a daemon that has no lease, is shutting down, or has no configuration. */
const UNAVAILABLE_DAEMON_CODES: ReadonlySet<string> = new Set([
  'DD3016',
  'DD3021',
  'DD3023',
]);

/** Returns whether a request that was not run may be retried on another daemon. */
export function mayRetryOnOtherDaemon(result: ClientResult): boolean {
  if (result.outcome !== 'not-run') return false;
  return result.code === '' || UNAVAILABLE_DAEMON_CODES.has(result.code);
}

/** Returns the combined outcome of all attempts: a refusal does not rule out that an earlier attempt ran. */
export function mergeOutcome(
  earlier: Exclude<Outcome, 'completed'>,
  last: Exclude<Outcome, 'completed'>,
): Exclude<Outcome, 'completed'> {
  return earlier === 'unknown' ? earlier : last;
}
