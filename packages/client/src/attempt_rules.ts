/**
 * Decides what an embedded client does after an attempt. Daemons retry within the deadline, so a
 * client goes to another daemon only when the first cannot be reached or runs nothing itself.
 */
import type {Outcome} from '@dottereldrift/core/types.js';

import type {ClientResult} from './types.js';

/** The daemon has no lease, is shutting down, or has no configuration. */
const DAEMON_CODES: ReadonlySet<string> = new Set([
  'DD3016',
  'DD3021',
  'DD3023',
]);

/** Tells whether another daemon may serve a request that this one did not run. */
export function isOtherDaemonWorthwhile(result: ClientResult): boolean {
  if (result.outcome !== 'not-run') return false;
  return result.code === '' || DAEMON_CODES.has(result.code);
}

/** Returns the outcome that covers all attempts: a later refusal does not undo an earlier run. */
export function mergeOutcome(
  earlier: Exclude<Outcome, 'completed'>,
  last: Exclude<Outcome, 'completed'>,
): Exclude<Outcome, 'completed'> {
  return earlier === 'unknown' ? earlier : last;
}
