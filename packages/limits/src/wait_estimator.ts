/**
 * Estimates how long a request would wait for a slot. Slots whose requests have outlived what is usual
 * for their kind are left out, for nobody knows when they end.
 */
import type {KindOrder} from './kind_order.js';
import type {KindState, RunningRequest} from './kind_state.js';
import {isOverdue} from './overdue.js';

/** What an estimate rests on. */
export interface WaitInput {
  readonly kind: KindState;
  readonly caller: string;
  /** Slots that the kind may take. */
  readonly slots: number;
  /** Kinds that wait and are served by the same order. */
  readonly waiting: Iterable<KindState>;
  readonly running: ReadonlySet<RunningRequest>;
}

/** Part of a slot that is counted when every slot is held by overdue requests. */
const LEAST_SLOTS = 0.5;

/** Estimates waits for one order of serving. */
export class WaitEstimator {
  constructor(private readonly order: KindOrder) {}

  /** Time in milliseconds until a new request of the kind would get a slot. */
  computeWaitMs(input: WaitInput, nowMs: number): number {
    const {kind, caller, waiting, running} = input;
    const slots = Math.max(
      LEAST_SLOTS,
      input.slots - countOverdue(running, nowMs),
    );
    const typicalMs = kind.estimate.getTypicalMs();
    const aheadMs = (kind.waiting.countAhead(caller) + 1) * typicalMs;
    const allMs = sumWaitingMs(waiting) + typicalMs;
    const share = this.order.getShare(kind, waiting);
    const otherMs = allMs - (kind.waiting.getSize() + 1) * typicalMs;
    const ownMs = share > 0 ? aheadMs / share : aheadMs + otherMs;
    return Math.min(ownMs, allMs) / slots;
  }
}

function countOverdue(
  running: ReadonlySet<RunningRequest>,
  nowMs: number,
): number {
  let count = 0;
  for (const request of running) if (isOverdue(request, nowMs)) count += 1;
  return count;
}

function sumWaitingMs(waiting: Iterable<KindState>): number {
  let sumMs = 0;
  for (const kind of waiting)
    sumMs += kind.waiting.getSize() * kind.estimate.getTypicalMs();
  return sumMs;
}
