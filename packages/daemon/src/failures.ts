/**
 * Makes the results of requests that bring no answer of a backend server.
 */
import {getErrorText} from '@dottereldrift/core/errors.js';
import {
  formatMessage,
  type MessageCode,
  type MessageValues,
} from '@dottereldrift/core/messages.js';
import type {AttemptFailure} from '@dottereldrift/routing/types.js';

import type {AttemptResult} from './exchange.js';

/** Time after which a refusal that passes soon is worth another try: some hops within a data centre. */
export const SHORT_RETRY_MS = 10;

/** Returns the failure of a request that was certainly not run. */
export function refuse(
  code: MessageCode,
  retryAfterMs: number,
  values: MessageValues = {},
): AttemptFailure {
  return {
    outcome: 'not-run',
    code,
    text: formatMessage(code, values),
    retryAfterMs,
  };
}

/** Returns the result of a failure. */
export function fail(failure: AttemptFailure): AttemptResult {
  return {kind: 'failed', failure};
}

/** Returns the result of a request during which this program failed; it may have run. */
export function createDefect(error: unknown): AttemptResult {
  const text = formatMessage('DD3099', {reason: getErrorText(error)});
  return fail({outcome: 'unknown', code: 'DD3099', text, retryAfterMs: 0});
}
