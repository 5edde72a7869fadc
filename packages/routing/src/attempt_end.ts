/**
 * Reads from the outcome of an attempt what it says about the host that it was sent to.
 */
import type {MessageCode} from '@dottereldrift/core/messages.js';

import type {AttemptEnd} from './host_choice.js';

const FIRST_SERVER_FAULT = 500;

/** Refusals for load: the host lives, but has no room. */
const LOAD_CODES: ReadonlySet<MessageCode> = new Set([
  'DD3006',
  'DD3010',
  'DD3011',
  'DD3012',
  'DD3025',
  'DD3034',
]);

/** Failures that name a fault of the host, its server, or the way there. */
const FAULT_CODES: ReadonlySet<MessageCode> = new Set([
  'DD3007',
  'DD3008',
  'DD3009',
  'DD3016',
  'DD3021',
  'DD3024',
  'DD3099',
]);

/** Returns what an answer says about its host. */
export function judgeAnswer(status: number, isCut: boolean): AttemptEnd {
  return isCut || status >= FIRST_SERVER_FAULT ? 'failed' : 'answered';
}

/** Returns what a failure says about the host that was tried. */
export function judgeFailure(code: MessageCode): AttemptEnd {
  if (LOAD_CODES.has(code)) return 'refused';
  if (code === 'DD3022') return 'abandoned';
  return FAULT_CODES.has(code) ? 'failed' : 'neutral';
}
