/**
 * What a policy knows of one kind of request.
 */
import {ServiceEstimate} from './service_estimate.js';
import type {SlotRequest} from './types.js';
import {WaitingList} from './waiting_list.js';

/** State of one kind. */
export interface KindState {
  readonly name: string;
  readonly estimate: ServiceEstimate;
  readonly waiting: WaitingList;
  priority: number;
  running: number;
  /** Position in the order of shares: the kind with the lowest is served next. */
  pass: number;
}

/** A request that runs. */
export interface RunningRequest {
  readonly kind: KindState;
  readonly startedAtMs: number;
}

/** Creates the state of the kind of a request. */
export function createKindState(
  request: SlotRequest,
  isFair: boolean,
): KindState {
  return {
    name: request.kind,
    estimate: new ServiceEstimate(request.expectedServiceMs),
    waiting: new WaitingList(isFair),
    priority: request.priority,
    running: 0,
    pass: 0,
  };
}
