/**
 * Limits retries to a share of recent requests, so that failures do not multiply the load.
 */

/** Limits of a budget, which works as a token bucket. */
export interface RetryBudgetLimits {
  /** Retries that each request adds to the budget. */
  readonly retriesPerRequest: number;
  /** Maximum number of retries in the budget. */
  readonly maxSaved: number;
}

/** Limits for retries of requests that may have run. */
export const FAILURE_BUDGET: RetryBudgetLimits = {
  retriesPerRequest: 0.05,
  maxSaved: 20,
};

/** Limits for resending requests that another host refused. */
export const REFUSAL_BUDGET: RetryBudgetLimits = {
  retriesPerRequest: 0.04,
  maxSaved: 100,
};

/** Retry budget of one service. */
export class RetryBudget {
  private availableRetries: number;

  constructor(private readonly limits: RetryBudgetLimits) {
    this.availableRetries = limits.maxSaved;
  }

  /** Adds the share of a retry that one request earns. */
  addRequest(): void {
    const {retriesPerRequest, maxSaved} = this.limits;
    this.availableRetries = Math.min(
      maxSaved,
      this.availableRetries + retriesPerRequest,
    );
  }

  /** Spends one retry, or returns false if none is left. */
  trySpendRetry(): boolean {
    if (this.availableRetries < 1) return false;
    this.availableRetries -= 1;
    return true;
  }
}
