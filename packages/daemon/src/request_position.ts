/**
 * Computes the position of a request on the ring, which determines the daemon that owns it.
 */
import {hashKey} from '@dottereldrift/core/ring_hash.js';
import {findKeyPosition} from '@dottereldrift/ownership/key_range.js';

import type {Exchange} from './exchange.js';

/**
 * Returns the ring position of a request: that of its key or, for a service that is not divided by key, that
 * of its idempotency key if duplicates must be detected; undefined when any host may run the request.
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
