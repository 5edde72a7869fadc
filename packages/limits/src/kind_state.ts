/**
 * What a policy knows of one kind of request.
 */
import {ArrivalRate} from './arrival_rate.js';
import {ServiceEstimate} from './service_estimate.js';
import type {SlotRequest} from './types.js';
import {WaitingList} from './waiting_list.js';

/** State of one kind. */
export interface KindState {
  readonly name: string;
  /** Whether runs that hold slots of other servers wait for its requests. */
  readonly isNested: boolean;
  readonly estimate: ServiceEstimate;
  readonly waiting: WaitingList;
  priority: number;
  running: number;
  readonly arrivals: ArrivalRate;
  /** Slots that its requests would keep busy on average. */
  demand: number;
  /** Position in the order of shares: the kind with the lowest is served next. */
  pass: number;
}

/** A request that runs. */
export interface RunningRequest {
  readonly kind: KindState;
  readonly startedAtMs: number;
}

/** Creates the state of the kind of a request, for a server that is observed from a time on. */
export function createKindState(
  request: SlotRequest,
  isFair: boolean,
  startedAtMs: number,
): KindState {
  return {
    name: request.kind,
    isNested: request.isNested === true,
    estimate: new ServiceEstimate(request.expectedServiceMs),
    waiting: new WaitingList(isFair),
    priority: request.priority,
    running: 0,
    arrivals: new ArrivalRate(startedAtMs),
    demand: 0,
    pass: 0,
  };
}
