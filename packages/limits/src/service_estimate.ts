/**
 * Running estimates of the service time of one kind of request. The typical time follows the median,
 * so that a few stragglers do not move it; the mean includes them.
 */

const MEAN_WEIGHT = 1 / 32;
/** Share of the typical time by which one observation moves it. */
const TYPICAL_STEP = 0.02;
const MIN_SERVICE_MS = 0.05;

/** Decayed estimates of a service time. */
export class ServiceEstimate {
  private meanMs: number;
  private typicalMs: number;
  private isObserved = false;

  constructor(expectedMs: number) {
    this.meanMs = Math.max(MIN_SERVICE_MS, expectedMs);
    this.typicalMs = this.meanMs;
  }

  /** Takes a service time that was measured. */
  observe(serviceMs: number): void {
    if (!this.isObserved) {
      this.isObserved = true;
      this.meanMs = Math.max(MIN_SERVICE_MS, serviceMs);
      this.typicalMs = this.meanMs;
      return;
    }
    this.meanMs += (serviceMs - this.meanMs) * MEAN_WEIGHT;
    const step = this.typicalMs * TYPICAL_STEP;
    const moved = this.typicalMs + (serviceMs > this.typicalMs ? step : -step);
    this.typicalMs = Math.max(MIN_SERVICE_MS, moved);
  }

  /** Decayed mean, in milliseconds. */
  getMeanMs(): number {
    return this.meanMs;
  }

  /** Decayed median, in milliseconds. */
  getTypicalMs(): number {
    return this.typicalMs;
  }
}
