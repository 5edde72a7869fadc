/**
 * Estimates how many requests per second the slots of a server can run, from the mean service time of
 * the requests that it has run. Servers of one service differ in speed, and equal shares of the keys
 * would overload the slow ones.
 */

const MS_PER_SECOND = 1_000;
/** Averages over about a hundred requests, so that stragglers have little effect. */
const MEAN_WEIGHT = 1 / 128;
/** Observations below which no capacity is reported. */
const MIN_OBSERVATIONS = 64;

/** Exponentially decayed mean service time over all kinds. */
export class CapacityMeter {
  private meanMs = 0;
  private observations = 0;

  /** Adds a measured service time. */
  observe(serviceMs: number): void {
    this.observations += 1;
    // The first observations are weighted equally, as in an arithmetic mean.
    const weight = Math.max(MEAN_WEIGHT, 1 / this.observations);
    this.meanMs += (serviceMs - this.meanMs) * weight;
  }

  /** Returns requests per second, or undefined until there are enough observations. */
  getCapacity(slots: number): number | undefined {
    if (this.observations < MIN_OBSERVATIONS || this.meanMs <= 0)
      return undefined;
    return (slots * MS_PER_SECOND) / this.meanMs;
  }
}
