/**
 * Classifies the outcome of an attempt by what it says about the host that the attempt was sent to.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';

import type {AttemptEnd} from './host_selector.js';
import type {AttemptFailure} from './types.js';

const MIN_SERVER_ERROR_STATUS = 500;

/** Refusals because all slots of a backend server are taken, or the link of its host. */
const LOAD_CODES: ReadonlySet<MessageCode> = new Set([
  'DD3011',
  'DD3012',
  'DD3025',
  'DD3035',
]);

/** Refusals for load: the host is up, but has no capacity left. */
const OVERLOAD_CODES: ReadonlySet<MessageCode> = new Set([
  'DD3006',
  'DD3010',
  'DD3011',
  'DD3012',
  'DD3025',
  'DD3034',
  'DD3035',
]);

/** Failures caused by the host, its server, or the network path to it. */
const HOST_FAILURE_CODES: ReadonlySet<MessageCode> = new Set([
  'DD3007',
  'DD3008',
  'DD3009',
  'DD3016',
  'DD3021',
  'DD3024',
  'DD3099',
]);

/** Classifies an answer. `isTruncated` is true if its body ended early. */
export function classifyAnswer(
  status: number,
  isTruncated: boolean,
): AttemptEnd {
  return isTruncated || status >= MIN_SERVER_ERROR_STATUS
    ? 'failed'
    : 'answered';
}

/** Classifies a failed attempt. */
export function classifyFailure(code: MessageCode): AttemptEnd {
  if (OVERLOAD_CODES.has(code)) return 'refused';
  if (code === 'DD3022') return 'abandoned';
  return HOST_FAILURE_CODES.has(code) ? 'failed' : 'neutral';
}

/** Returns whether a code means that the slots of a backend server, or the link of its host, are taken. */
export function isLoadCode(code: MessageCode): boolean {
  return LOAD_CODES.has(code);
}

/** Returns whether a host refused for load, so that it will likely refuse other requests of the kind. */
export function isRefusedForLoad({outcome, code}: AttemptFailure): boolean {
  return outcome === 'not-run' && (isLoadCode(code) || code === 'DD3034');
}
