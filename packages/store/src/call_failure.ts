/**
 * Reads from the error of a call to a store whether the call can have had an effect.
 */
import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage} from '@dottereldrift/core/messages.js';

import type {StoreFailure} from './types.js';

/** Errors of undici that are raised before anything is sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Returns the failure of a call that brought no answer: a write that was sent may take effect yet. */
export function createCallFailure(
  isRead: boolean,
  error: unknown,
): StoreFailure {
  const code = String((error as {readonly code?: unknown}).code ?? '');
  if (isRead || UNSENT_ERROR_CODES.has(code)) {
    const text = formatMessage('DD2001', {reason: getErrorText(error)});
    return {kind: 'unavailable', text};
  }
  return {kind: 'unknown', text: formatMessage('DD2002')};
}
