/**
 * Decayed rate of arrivals. Until it has been observed for long, the time since the start counts in place
 * of the decay.
 */

/** Time constant of the decay: load swings within seconds. */
const DECAY_MS = 2_000;
/** Least time over which a rate is taken. */
const MIN_OBSERVED_MS = 10;

/** Counts arrivals. */
export class ArrivalRate {
  private weight = 0;
  private weighedAtMs: number;

  constructor(private readonly startedAtMs: number) {
    this.weighedAtMs = startedAtMs;
  }

  addArrival(nowMs: number): void {
    this.weight = this.computeWeight(nowMs) + 1;
    this.weighedAtMs = nowMs;
  }

  /** Returns arrivals in a millisecond. */
  getRate(nowMs: number): number {
    const observedMs = Math.max(MIN_OBSERVED_MS, nowMs - this.startedAtMs);
    const spanMs = DECAY_MS * (1 - Math.exp(-observedMs / DECAY_MS));
    return this.computeWeight(nowMs) / spanMs;
  }

  private computeWeight(nowMs: number): number {
    return this.weight * Math.exp((this.weighedAtMs - nowMs) / DECAY_MS);
  }
}
