/**
 * Running estimates of the service time of one kind of request. The typical time follows the median
 * and the usual time the 90th percentile, so that a few stragglers move neither; the mean includes
 * them.
 */

const MEAN_WEIGHT = 1 / 32;
/** Shares of an estimate by which one observation above or below moves it. */
const TYPICAL_STEPS = {up: 0.02, down: 0.02};
const USUAL_STEPS = {up: 0.045, down: 0.005};
const FIRST_USUAL_FACTOR = 1.5;
const MIN_SERVICE_MS = 0.05;

interface Steps {
  readonly up: number;
  readonly down: number;
}

/** Decayed estimates of a service time. */
export class ServiceEstimate {
  private meanMs = 0;
  private typicalMs = 0;
  private usualMs = 0;
  private isObserved = false;

  constructor(expectedMs: number) {
    this.setAll(expectedMs);
  }

  /** Takes a service time that was measured. */
  observe(serviceMs: number): void {
    if (!this.isObserved) {
      this.isObserved = true;
      this.setAll(serviceMs);
      return;
    }
    this.meanMs += (serviceMs - this.meanMs) * MEAN_WEIGHT;
    this.typicalMs = shiftEstimate(this.typicalMs, serviceMs, TYPICAL_STEPS);
    this.usualMs = shiftEstimate(this.usualMs, serviceMs, USUAL_STEPS);
  }

  /** Decayed mean, in milliseconds. */
  getMeanMs(): number {
    return this.meanMs;
  }

  /** Decayed median, in milliseconds. */
  getTypicalMs(): number {
    return this.typicalMs;
  }

  /** Decayed 90th percentile, in milliseconds. */
  getUsualMs(): number {
    return this.usualMs;
  }

  private setAll(serviceMs: number): void {
    this.meanMs = Math.max(MIN_SERVICE_MS, serviceMs);
    this.typicalMs = this.meanMs;
    this.usualMs = this.meanMs * FIRST_USUAL_FACTOR;
  }
}

function shiftEstimate(
  estimateMs: number,
  serviceMs: number,
  steps: Steps,
): number {
  const share = serviceMs > estimateMs ? steps.up : -steps.down;
  return Math.max(MIN_SERVICE_MS, estimateMs * (1 + share));
}
