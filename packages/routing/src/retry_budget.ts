/**
 * Bounds retries to a share of recent requests, so that failures do not multiply the load.
 */

/** Bounds of a budget. */
export interface RetryBudgetLimits {
  /** Retries earned by one request. */
  readonly retriesPerRequest: number;
  /** Retries that can be saved up. */
  readonly maxSaved: number;
}

/** Bounds of retries of requests that may have run. */
export const FAILURE_BUDGET: RetryBudgetLimits = {
  retriesPerRequest: 0.05,
  maxSaved: 20,
};

/** Bounds of sending requests again that another host refused. */
export const REFUSAL_BUDGET: RetryBudgetLimits = {
  retriesPerRequest: 0.04,
  maxSaved: 100,
};

/** Budget of the retries of one service. */
export class RetryBudget {
  private saved: number;

  constructor(private readonly limits: RetryBudgetLimits) {
    this.saved = limits.maxSaved;
  }

  /** Earns a share of a retry. */
  addRequest(): void {
    const {retriesPerRequest, maxSaved} = this.limits;
    this.saved = Math.min(maxSaved, this.saved + retriesPerRequest);
  }

  /** Spends one retry; false when none is left. */
  tryRetry(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
