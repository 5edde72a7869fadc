/**
 * Bounds retries to a share of recent requests, so that failures do not multiply the load.
 */

/** Retries earned by one request. */
const RETRIES_PER_REQUEST = 0.08;

/** Retries that can be saved up. */
const MAX_SAVED_RETRIES = 20;

/** Budget of the retries of one service. */
export class RetryBudget {
  private saved = MAX_SAVED_RETRIES;

  /** Earns a share of a retry. */
  addRequest(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_REQUEST);
  }

  /** Spends one retry; false when none is left. */
  tryRetry(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
