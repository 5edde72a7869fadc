/**
 * Determines from the error of a store call whether the call can have taken effect.
 */
import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage} from '@dottereldrift/core/messages.js';

import type {StoreFailure} from './types.js';

/** Error codes of undici for failures before anything is sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Returns the failure of a call without a response. A write that was sent may still take effect. */
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
