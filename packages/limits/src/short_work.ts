/**
 * Decides how many slots long work leaves to work that is much shorter: as many as that work uses, with
 * room for its variation, up to a share of the slots. A kind of which few requests come keeps no slot
 * idle; its requests wait for the next end.
 */
import type {KindState} from './kind_state.js';

/** Multiple of another kind's typical service time from which work is long beside it. */
const LONG_MULTIPLE = 8;
/** Time for which demands are taken from one computation, in milliseconds. */
const REFRESH_MS = 10;

/** Follows the demand of all kinds of one server. */
export class ShortWork {
  private refreshedAtMs = -Infinity;

  constructor(
    private readonly kinds: ReadonlyMap<string, KindState>,
    /** Share of the slots that long work may be made to leave. */
    private readonly maxShare: number,
  ) {}

  /** Returns the slots that a kind may not take. */
  getReserved(kind: KindState, slots: number, nowMs: number): number {
    const most = getMostReserved(slots, this.maxShare);
    if (most === 0) return 0;
    this.refresh(nowMs);
    const longestMs = kind.estimate.getTypicalMs() / LONG_MULTIPLE;
    let demand = 0;
    for (const other of this.kinds.values())
      if (other.estimate.getTypicalMs() <= longestMs) demand += other.demand;
    // Arrivals vary by the square root of their mean number.
    return Math.min(most, Math.round(demand + Math.sqrt(demand)));
  }

  private refresh(nowMs: number): void {
    if (nowMs - this.refreshedAtMs < REFRESH_MS) return;
    this.refreshedAtMs = nowMs;
    for (const kind of this.kinds.values())
      kind.demand = kind.arrivals.getRate(nowMs) * kind.estimate.getTypicalMs();
  }
}

function getMostReserved(slots: number, maxShare: number): number {
  if (maxShare <= 0 || slots <= 1) return 0;
  return Math.max(1, Math.floor(slots * maxShare));
}
