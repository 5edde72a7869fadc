/**
 * Limits the rate of store calls of a process, so that a fault cannot flood the store with calls.
 */
import type {System} from '@dottereldrift/core/system.js';

const MS_PER_SECOND = 1_000;

/** Token bucket for store calls. */
export class CallBudget {
  private tokens: number;
  private lastRefillMs: number;

  constructor(
    private readonly system: System,
    readonly callsPerSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.lastRefillMs = system.getNow().monotonicMs;
  }

  /** Takes one call from the budget. Returns false if the budget is exhausted. */
  tryTake(): boolean {
    const nowMs = this.system.getNow().monotonicMs;
    const refill =
      ((nowMs - this.lastRefillMs) * this.callsPerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.burst, this.tokens + refill);
    this.lastRefillMs = nowMs;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
