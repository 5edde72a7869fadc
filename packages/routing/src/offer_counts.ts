/**
 * Counts of requests and of the offers that were accepted among them, which are forgotten exponentially.
 */

/** Exponentially decayed counts. */
export class OfferCounts {
  private requests = 0;
  private accepted = 0;
  private decayedAtMs: number;

  constructor(
    private readonly halfLifeMs: number,
    nowMs: number,
  ) {
    this.decayedAtMs = nowMs;
  }

  /** Returns the number of requests, offered or not. */
  getRequests(nowMs: number): number {
    return this.requests * this.computeDecay(this.decayedAtMs, nowMs);
  }

  /** Returns the number of offers that have not been refused. */
  getAccepted(nowMs: number): number {
    return this.accepted * this.computeDecay(this.decayedAtMs, nowMs);
  }

  addRequests(count: number, nowMs: number): void {
    this.applyDecay(nowMs);
    this.requests += count;
  }

  addAccepted(nowMs: number): void {
    this.applyDecay(nowMs);
    this.accepted += 1;
  }

  /** Takes back an offer that was counted as accepted and has been refused. */
  withdrawAccepted(addedAtMs: number, nowMs: number): void {
    this.applyDecay(nowMs);
    const added = this.computeDecay(addedAtMs, nowMs);
    this.accepted = Math.max(0, this.accepted - added);
  }

  private applyDecay(nowMs: number): void {
    const decay = this.computeDecay(this.decayedAtMs, nowMs);
    this.requests *= decay;
    this.accepted *= decay;
    this.decayedAtMs = nowMs;
  }

  /** Returns the share of a count that is left after the time between two moments. */
  private computeDecay(fromMs: number, nowMs: number): number {
    return 0.5 ** ((nowMs - fromMs) / this.halfLifeMs);
  }
}
