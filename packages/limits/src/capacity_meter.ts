/**
 * Estimates how many requests a second the slots of a server can run, from the mean service time of
 * what it ran. Servers of one service differ in speed, and equal shares of the keys would overload the
 * slow ones.
 */

const MS_PER_SECOND = 1_000;
/** Weight of one observation: the mean follows some hundred requests, so that stragglers average out. */
const MEAN_WEIGHT = 1 / 128;
/** Observations from which the mean is told. */
const MIN_OBSERVED = 64;

/** Decayed mean service time over all kinds. */
export class CapacityMeter {
  private meanMs = 0;
  private observed = 0;

  /** Takes a service time that was measured. */
  observe(serviceMs: number): void {
    this.observed += 1;
    // The first observations weigh the same, as in a plain mean.
    const weight = Math.max(MEAN_WEIGHT, 1 / this.observed);
    this.meanMs += (serviceMs - this.meanMs) * weight;
  }

  /** Returns requests a second; undefined until enough was observed. */
  getCapacity(slots: number): number | undefined {
    if (this.observed < MIN_OBSERVED || this.meanMs <= 0) return undefined;
    return (slots * MS_PER_SECOND) / this.meanMs;
  }
}
