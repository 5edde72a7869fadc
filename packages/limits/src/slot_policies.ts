/**
 * Creates slot policies by the names that the settings use.
 */
import type {System} from '@dottereldrift/core/system.js';

import {ADAPTIVE_OPTIONS} from './adaptive_options.js';
import {AdaptivePolicy} from './adaptive_policy.js';
import {FifoPolicy} from './fifo_policy.js';
import type {SlotPolicy} from './types.js';

/** Name of a slot policy in the settings. */
export type SlotPolicyName = 'adaptive' | 'fifo';

/** Limits of the queue of waiting requests. */
export interface QueueBounds {
  /** Maximum number of waiting requests; read at each request because the configuration may change. */
  readonly getMaxQueued: () => number;
  readonly maxQueuedBytes: number;
}

/** Creates the slot policy of one server. */
export function createSlotPolicy(
  name: SlotPolicyName,
  system: System,
  slots: number,
  bounds: QueueBounds,
): SlotPolicy {
  switch (name) {
    case 'fifo':
      return new FifoPolicy(system, slots, bounds.getMaxQueued);
    case 'adaptive':
      return new AdaptivePolicy(
        system,
        slots,
        {...ADAPTIVE_OPTIONS, maxQueuedBytes: bounds.maxQueuedBytes},
        bounds.getMaxQueued,
      );
  }
}
