/**
 * Reserves slots for kinds of requests that are much shorter than others: as many as they keep busy on
 * average plus a margin for variation, up to a share of all slots. A kind with few requests reserves
 * none, which would stay idle; its requests wait until a running request ends.
 */
import type {KindState} from './kind_state.js';

/** Ratio of median service times from which one kind counts as long relative to another. */
const LONG_TO_SHORT_RATIO = 8;
/** Minimum time between two computations of the demands. */
const REFRESH_MS = 10;

/** Computes reserved slots from the demand of every kind of one server. */
export class SlotReservation {
  private refreshedAtMs = -Infinity;

  constructor(
    private readonly kinds: ReadonlyMap<string, KindState>,
    /** Largest share of the slots that may be reserved. */
    private readonly maxShare: number,
  ) {}

  /** Returns the number of slots that are reserved for kinds much shorter than the given one. */
  getReserved(kind: KindState, slots: number, nowMs: number): number {
    const maxReserved = getMaxReserved(slots, this.maxShare);
    if (maxReserved === 0) return 0;
    this.refresh(nowMs);
    const maxShortMs = kind.estimate.getMedianMs() / LONG_TO_SHORT_RATIO;
    let demand = 0;
    for (const other of this.kinds.values())
      if (other.estimate.getMedianMs() <= maxShortMs) demand += other.demand;
    // The standard deviation of a Poisson process is the square root of its mean.
    return Math.min(maxReserved, Math.round(demand + Math.sqrt(demand)));
  }

  private refresh(nowMs: number): void {
    if (nowMs - this.refreshedAtMs < REFRESH_MS) return;
    this.refreshedAtMs = nowMs;
    for (const kind of this.kinds.values())
      kind.demand = kind.arrivals.getRate(nowMs) * kind.estimate.getMedianMs();
  }
}

function getMaxReserved(slots: number, maxShare: number): number {
  if (maxShare <= 0 || slots <= 1) return 0;
  return Math.max(1, Math.floor(slots * maxShare));
}
