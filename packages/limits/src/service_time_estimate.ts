/**
 * Running estimates of the service time of one kind of request: the mean, the median and the 90th
 * percentile. A few stragglers move the mean, but neither of the quantiles.
 */

const MEAN_WEIGHT = 1 / 32;
/**
 * Relative step by which one observation above or below a quantile estimate moves it. The estimate
 * settles where the steps up and down balance: equal steps give the median, 9:1 the 90th percentile.
 */
const MEDIAN_STEPS = {up: 0.02, down: 0.02};
const P90_STEPS = {up: 0.045, down: 0.005};
const INITIAL_P90_FACTOR = 1.5;
const MIN_SERVICE_MS = 0.05;

interface Steps {
  readonly up: number;
  readonly down: number;
}

/** Exponentially decayed estimates of a service time. */
export class ServiceTimeEstimate {
  private meanMs = 0;
  private medianMs = 0;
  private p90Ms = 0;
  private hasObservation = false;

  constructor(expectedMs: number) {
    this.setAll(expectedMs);
  }

  /** Adds a measured service time. The first one replaces the expected service time. */
  observe(serviceMs: number): void {
    if (!this.hasObservation) {
      this.hasObservation = true;
      this.setAll(serviceMs);
      return;
    }
    this.meanMs += (serviceMs - this.meanMs) * MEAN_WEIGHT;
    this.medianMs = shiftEstimate(this.medianMs, serviceMs, MEDIAN_STEPS);
    this.p90Ms = shiftEstimate(this.p90Ms, serviceMs, P90_STEPS);
  }

  /** Returns the decayed mean. */
  getMeanMs(): number {
    return this.meanMs;
  }

  /** Returns the decayed median. */
  getMedianMs(): number {
    return this.medianMs;
  }

  /** Returns the decayed 90th percentile. */
  getP90Ms(): number {
    return this.p90Ms;
  }

  private setAll(serviceMs: number): void {
    this.meanMs = Math.max(MIN_SERVICE_MS, serviceMs);
    this.medianMs = this.meanMs;
    this.p90Ms = this.meanMs * INITIAL_P90_FACTOR;
  }
}

function shiftEstimate(
  estimateMs: number,
  serviceMs: number,
  steps: Steps,
): number {
  const relativeStep = serviceMs > estimateMs ? steps.up : -steps.down;
  return Math.max(MIN_SERVICE_MS, estimateMs * (1 + relativeStep));
}
