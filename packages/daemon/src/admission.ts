/**
 * A request that has passed the owner's checks, and its count at the gate of its slice.
 */
import type {ServiceName} from '@dottereldrift/core/types.js';
import type {SlotRefusal} from '@dottereldrift/limits/types.js';
import type {SliceGate} from '@dottereldrift/ownership/slice_gate.js';
import type {TakeoverWait} from '@dottereldrift/ownership/takeover_wait.js';
import type {Slice} from '@dottereldrift/ownership/types.js';

import type {Exchange} from './exchange.js';
import type {OnceGuard} from './once_guard.js';
import type {LocalServer} from './server_types.js';

/** What the owner keeps of one service. */
export interface ServiceState {
  readonly gate: SliceGate;
  readonly guard: OnceGuard;
  readonly wait: TakeoverWait;
}

/** A request that has passed the checks. */
export interface Admitted {
  readonly exchange: Exchange;
  readonly server: LocalServer;
  /** Undefined where no key decides, so that no slice is needed. */
  readonly slice: Slice | undefined;
  readonly position: number;
  readonly state: ServiceState;
}

/** Called back with each request that is admitted to a slice, given by its start. */
export type AdmissionListener = (
  service: ServiceName,
  start: number,
  position: number,
) => void;

/** Called back with each request that finds no slot. */
export type RefusalListener = (
  exchange: Exchange,
  refusal: SlotRefusal,
) => void;

/** Counts a request that needs a slice; the returned function ends it. */
export function startInGate(admitted: Admitted): () => void {
  const {slice, position, state} = admitted;
  return slice === undefined ? () => {} : state.gate.startRequest(position);
}

/** Lets a release hand a waiting request back; the returned function forgets it. */
export function addToGate(
  admitted: Admitted,
  handBack: () => void,
): () => void {
  const {slice, position, state} = admitted;
  return slice === undefined
    ? () => {}
    : state.gate.addWaiting(position, handBack);
}
