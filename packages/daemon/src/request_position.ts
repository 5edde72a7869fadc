/**
 * Decides which position on the ring a request belongs to, and so which daemon owns it.
 */
import {hashKey} from '@dottereldrift/core/ring_hash.js';
import {findKeyPosition} from '@dottereldrift/ownership/key_range.js';

import type {Exchange} from './exchange.js';

/**
 * Returns the ring position that decides the owner of a request: its key's, or for a service that is
 * not divided by key its idempotency key's, if repeats must be recognized.
 */
export function getPosition(
  exchange: Pick<Exchange, 'rules' | 'target' | 'idempotencyKey' | 'kind'>,
): number | undefined {
  const {rules, target, idempotencyKey, kind} = exchange;
  const {key} = target;
  if (rules.division === 'byKey')
    return key === undefined ? undefined : hashKey(key);
  if (rules.division === 'byRange')
    return key === undefined ? undefined : findKeyPosition(key);
  if (idempotencyKey === undefined || kind.idempotent) return undefined;
  return hashKey(idempotencyKey);
}
