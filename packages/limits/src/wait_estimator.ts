/**
 * Estimates how long a request would wait for a slot. Slots held by overdue requests are not counted,
 * because it is not known when they will be free.
 */
import type {KindScheduler} from './kind_scheduler.js';
import type {KindState, RunningRequest} from './kind_state.js';
import {isOverdue} from './overdue.js';

/** Inputs of an estimate. */
export interface WaitInput {
  readonly kind: KindState;
  readonly caller: string;
  /** Slots that the kind may take. */
  readonly usableSlots: number;
  /** Kinds with waiting requests that the same scheduler serves. */
  readonly waiting: Iterable<KindState>;
  readonly running: ReadonlySet<RunningRequest>;
}

/** Slots assumed when overdue requests hold all of them; keeps the estimate finite. */
const MIN_SLOTS = 0.5;

/** Estimates waits under one scheduler. */
export class WaitEstimator {
  constructor(private readonly scheduler: KindScheduler) {}

  /** Returns the estimated time until a new request of the kind would get a slot. */
  computeWaitMs(input: WaitInput, nowMs: number): number {
    const {kind, caller, waiting, running} = input;
    const availableSlots = Math.max(
      MIN_SLOTS,
      input.usableSlots - countOverdue(running, nowMs),
    );
    const medianMs = kind.estimate.getMedianMs();
    const aheadMs = (kind.waiting.countAhead(caller) + 1) * medianMs;
    const totalMs = sumWaitingMs(waiting) + medianMs;
    const share = this.scheduler.getShare(kind, waiting);
    const otherKindsMs = totalMs - (kind.waiting.getSize() + 1) * medianMs;
    const sharedWaitMs = share > 0 ? aheadMs / share : aheadMs + otherKindsMs;
    return Math.min(sharedWaitMs, totalMs) / availableSlots;
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
    sumMs += kind.waiting.getSize() * kind.estimate.getMedianMs();
  return sumMs;
}
