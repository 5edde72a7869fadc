/**
 * Decides how many slots nested requests may hold before others get one. The run that waits for a nested
 * request holds a slot of another server, which is wasted if it fails; but a flood of them must leave the
 * rest of the slots to new work.
 */
import type {KindState, RunningRequest} from './kind_state.js';

/** Follows the nested requests of one server. */
export class NestedWork {
  constructor(
    private readonly kinds: ReadonlyMap<string, KindState>,
    /** Share of the slots that nested requests are given before others; 0 for none. */
    private readonly maxShare: number,
  ) {}

  /** Tells whether a free slot is for nested requests first. */
  isFirst(slots: number, running: ReadonlySet<RunningRequest>): boolean {
    return countNested(running) < this.getMost(slots);
  }

  /** Returns the slots that nested requests keep busy on average, of those that they get before others. */
  getDemand(slots: number, nowMs: number): number {
    let demand = 0;
    for (const kind of this.kinds.values()) {
      if (kind.isNested)
        demand += kind.arrivals.getRate(nowMs) * kind.estimate.getTypicalMs();
    }
    return Math.min(demand, this.getMost(slots));
  }

  /** Returns the slots that nested requests may hold while others wait. */
  getMost(slots: number): number {
    return Math.floor(slots * this.maxShare);
  }
}

/** Returns how many running requests are nested. */
export function countNested(running: Iterable<RunningRequest>): number {
  let count = 0;
  for (const {kind} of running) if (kind.isNested) count += 1;
  return count;
}
