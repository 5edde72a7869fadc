/**
 * State that the adaptive policy keeps for each kind of request.
 */
import {ArrivalRate} from './arrival_rate.js';
import {ServiceTimeEstimate} from './service_time_estimate.js';
import type {SlotRequest} from './types.js';
import {WaitingList} from './waiting_list.js';

/** Statistics, waiting requests and scheduling state of one kind. */
export interface KindState {
  readonly name: string;
  /** Whether its requests are sent by runs that hold slots of other servers meanwhile. */
  readonly isNested: boolean;
  readonly estimate: ServiceTimeEstimate;
  readonly waiting: WaitingList;
  priority: number;
  running: number;
  readonly arrivals: ArrivalRate;
  /** Average number of slots that its requests keep busy: arrival rate times median service time. */
  demand: number;
  /** Pass value of the stride scheduler; the kind with the lowest one is served next. */
  pass: number;
}

/** A request that holds a slot. */
export interface RunningRequest {
  readonly kind: KindState;
  readonly startedAtMs: number;
}

/** Creates the state for the kind of a request. Arrivals are counted from `startedAtMs` on. */
export function createKindState(
  request: SlotRequest,
  isFair: boolean,
  startedAtMs: number,
): KindState {
  return {
    name: request.kind,
    isNested: request.isNested === true,
    estimate: new ServiceTimeEstimate(request.expectedServiceMs),
    waiting: new WaitingList(isFair),
    priority: request.priority,
    running: 0,
    arrivals: new ArrivalRate(startedAtMs),
    demand: 0,
    pass: 0,
  };
}
