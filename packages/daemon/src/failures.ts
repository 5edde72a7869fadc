/**
 * Creates the results of requests that end without a response of a backend server.
 */
import {getErrorText} from '@dottereldrift/core/errors.js';
import {
  formatMessage,
  type MessageCode,
  type MessageValues,
} from '@dottereldrift/core/messages.js';
import type {AttemptFailure} from '@dottereldrift/routing/types.js';

import type {AttemptResult} from './exchange.js';

/** Retry delay for short-lived refusals: a few network hops within a data centre. */
export const SHORT_RETRY_MS = 10;

/** Creates the failure of a request that was not run. */
export function createNotRunFailure(
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

/** Wraps a failure in the result of an attempt. */
export function createFailedResult(failure: AttemptFailure): AttemptResult {
  return {kind: 'failed', failure};
}

/** Creates the result of a request that failed with an internal error; it may have run. */
export function createInternalError(error: unknown): AttemptResult {
  const text = formatMessage('DD3099', {reason: getErrorText(error)});
  return createFailedResult({
    outcome: 'unknown',
    code: 'DD3099',
    text,
    retryAfterMs: 0,
  });
}
