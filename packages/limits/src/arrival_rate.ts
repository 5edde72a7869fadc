/**
 * Exponentially decayed arrival rate. Early estimates are corrected for the part of the averaging
 * window that lies before the start of the observation.
 */

/** Time constant of the decay; load changes within seconds. */
const DECAY_MS = 2_000;
/** Minimum time over which a rate is computed. */
const MIN_OBSERVED_MS = 10;

/** Estimates the arrival rate of one kind. */
export class ArrivalRate {
  private decayedCount = 0;
  private decayedAtMs: number;

  constructor(private readonly startedAtMs: number) {
    this.decayedAtMs = startedAtMs;
  }

  addArrival(nowMs: number): void {
    this.decayedCount = this.computeDecayedCount(nowMs) + 1;
    this.decayedAtMs = nowMs;
  }

  /** Returns arrivals per millisecond. */
  getRate(nowMs: number): number {
    const observedMs = Math.max(MIN_OBSERVED_MS, nowMs - this.startedAtMs);
    const effectiveWindowMs = DECAY_MS * (1 - Math.exp(-observedMs / DECAY_MS));
    return this.computeDecayedCount(nowMs) / effectiveWindowMs;
  }

  private computeDecayedCount(nowMs: number): number {
    return this.decayedCount * Math.exp((this.decayedAtMs - nowMs) / DECAY_MS);
  }
}
