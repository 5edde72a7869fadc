/**
 * Limits the slots that nested requests get ahead of new work. The run that waits for a nested request
 * holds a slot of another server, which is wasted if the request fails; but when nested requests alone
 * exceed the capacity, they must leave the remaining slots to new work.
 */
import type {KindState, RunningRequest} from './kind_state.js';

/** Slot quota of the nested requests of one server. */
export class NestedQuota {
  constructor(
    private readonly kinds: ReadonlyMap<string, KindState>,
    /** Share of the slots that nested requests get ahead of new work; 0 for none. */
    private readonly maxShare: number,
  ) {}

  /** Returns whether the next free slot goes to a nested request first. */
  isBelowQuota(slots: number, running: ReadonlySet<RunningRequest>): boolean {
    return countNested(running) < this.getQuota(slots);
  }

  /** Returns the slots that nested requests keep busy on average, at most their quota. */
  getDemand(slots: number, nowMs: number): number {
    let demand = 0;
    for (const kind of this.kinds.values()) {
      if (kind.isNested)
        demand += kind.arrivals.getRate(nowMs) * kind.estimate.getMedianMs();
    }
    return Math.min(demand, this.getQuota(slots));
  }

  /** Returns the slots up to which nested requests go ahead of new work. */
  getQuota(slots: number): number {
    return Math.floor(slots * this.maxShare);
  }
}

/** Returns the number of nested requests among the running ones. */
export function countNested(running: Iterable<RunningRequest>): number {
  let count = 0;
  for (const {kind} of running) if (kind.isNested) count += 1;
  return count;
}
