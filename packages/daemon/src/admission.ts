/**
 * Requests that have passed the owner's admission checks, and their registration with the gate of their
 * slice.
 */
import type {ServiceName} from '@dottereldrift/core/types.js';
import type {SlotRefusal} from '@dottereldrift/limits/types.js';
import type {SliceGate} from '@dottereldrift/ownership/slice_gate.js';
import type {TakeoverWait} from '@dottereldrift/ownership/takeover_wait.js';
import type {Slice} from '@dottereldrift/ownership/types.js';

import type {Exchange} from './exchange.js';
import type {IdempotencyGuard} from './idempotency_guard.js';
import type {LocalServer} from './server_types.js';

/** State that an owner keeps for one service. */
export interface ServiceState {
  readonly gate: SliceGate;
  readonly guard: IdempotencyGuard;
  readonly wait: TakeoverWait;
}

/** A request that has passed the admission checks. */
export interface AdmittedRequest {
  readonly exchange: Exchange;
  readonly server: LocalServer;
  /** Undefined when the request has no ring position and therefore needs no slice. */
  readonly slice: Slice | undefined;
  readonly position: number;
  readonly state: ServiceState;
}

/**
 * Called for each request that is admitted to a slice, which is given by its start. `count` includes requests that
 * another daemon withheld, of which the admitted one is a random sample.
 */
export type AdmissionListener = (
  service: ServiceName,
  start: number,
  position: number,
  count: number,
) => void;

/** Called for each request that is refused a slot. */
export type RefusalListener = (
  exchange: Exchange,
  refusal: SlotRefusal,
) => void;

/** Counts a request as running in its slice, if it needs one; the returned function ends it. */
export function startSliceRequest(admitted: AdmittedRequest): () => void {
  const {slice, position, state} = admitted;
  return slice === undefined ? () => {} : state.gate.startRequest(position);
}

/** Registers a queued request to be refused if its slice is released; the returned function removes it. */
export function addWaitingRequest(
  admitted: AdmittedRequest,
  onRelease: () => void,
): () => void {
  const {slice, position, state} = admitted;
  return slice === undefined
    ? () => {}
    : state.gate.addWaitingRequest(position, onRelease);
}
