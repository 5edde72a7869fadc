/**
 * What this daemon has observed of one host of a service.
 */
import type {AttemptEnd} from './host_selector.js';

const LATENCY_WEIGHT = 0.1;
/** Latency assumed for a host without observations, and the lower bound of all latencies. */
const MIN_LATENCY_MS = 1;
/** Half-life of latency and refusal observations. */
const HALF_LIFE_MS = 2_000;
const FAILURES_BEFORE_EJECTION = 5;
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
const WARM_UP_MS = 5_000;
const MIN_WARM_UP_SHARE = 0.1;
/** Increase of the cost factor of a host with each recent refusal. */
const REFUSAL_COST = 1;
const MAX_REFUSALS = 20;

/** Requests in flight, latency, refusals and failures of one host. */
export class HostRecord {
  private inFlight = 0;
  private latencyMs = 0;
  private latencyUpdatedAtMs = -Infinity;
  private refusals = 0;
  private lastRefusedAtMs = 0;
  private failures = 0;
  private ejections = 0;
  private ejectedUntilMs = 0;
  private warmUpStartMs: number;

  constructor(nowMs: number) {
    this.warmUpStartMs = nowMs;
  }

  /** Skips the warm-up, for a host that may have been running before this daemon. */
  setWarmedUp(): void {
    this.warmUpStartMs = -Infinity;
  }

  isIdle(): boolean {
    return this.inFlight === 0;
  }

  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs || this.isProbing();
  }

  getEjectedUntilMs(): number {
    return this.ejectedUntilMs;
  }

  startAttempt(): void {
    this.inFlight += 1;
  }

  /** Records the end of an attempt. `random`, from 0 up to 1, adds jitter to the ejection time. */
  finishAttempt(
    end: AttemptEnd,
    latencyMs: number,
    nowMs: number,
    random: number,
  ): void {
    this.inFlight -= 1;
    if (end === 'neutral') return;
    if (end === 'abandoned' || end === 'failed')
      this.recordLatencyLowerBound(latencyMs, nowMs);
    if (end === 'abandoned') return;
    if (end === 'failed') {
      this.recordFailure(nowMs, random);
      return;
    }
    this.failures = 0;
    this.ejections = 0;
    if (end === 'refused') this.recordRefusal(nowMs);
    else this.recordLatency(latencyMs, nowMs);
  }

  /**
   * Returns the relative cost of one more request here, comparable between hosts with the same number of
   * slots. The observed latency decays towards the average of the service; otherwise a host that rarely
   * gets requests would appear to be the fastest. A host without observations has the minimum latency,
   * so that it is tried.
   */
  computeCost(nowMs: number, averageLatencyMs = MIN_LATENCY_MS): number {
    const latencyMs = Math.max(
      MIN_LATENCY_MS,
      this.computeLatencyMs(nowMs, averageLatencyMs),
    );
    const recentRefusals =
      this.refusals === 0
        ? 0
        : this.refusals * computeDecay(this.lastRefusedAtMs, nowMs);
    const refusalFactor = 1 + recentRefusals * REFUSAL_COST;
    const warmUpShare = Math.max(
      MIN_WARM_UP_SHARE,
      Math.min(1, (nowMs - this.warmUpStartMs) / WARM_UP_MS),
    );
    return ((this.inFlight + 1) * latencyMs * refusalFactor) / warmUpShare;
  }

  private computeLatencyMs(nowMs: number, averageLatencyMs: number): number {
    if (this.latencyUpdatedAtMs === -Infinity) return MIN_LATENCY_MS;
    const weight = computeDecay(this.latencyUpdatedAtMs, nowMs);
    return this.latencyMs * weight + averageLatencyMs * (1 - weight);
  }

  /** After an ejection, allows one probe request at a time until one does not fail. */
  private isProbing(): boolean {
    return this.ejections > 0 && this.inFlight > 0;
  }

  private recordFailure(nowMs: number, random: number): void {
    this.failures += 1;
    const isEjected = nowMs < this.ejectedUntilMs;
    const isEjectionDue =
      this.failures >= FAILURES_BEFORE_EJECTION || this.ejections > 0;
    if (isEjected || !isEjectionDue) return;
    const baseDurationMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** this.ejections,
    );
    this.ejections += 1;
    this.ejectedUntilMs = nowMs + baseDurationMs * (0.5 + random);
  }

  private recordRefusal(nowMs: number): void {
    const recent = this.refusals * computeDecay(this.lastRefusedAtMs, nowMs);
    this.refusals = Math.min(MAX_REFUSALS, recent + 1);
    this.lastRefusedAtMs = nowMs;
  }

  /** Records a lower bound of the latency, from an attempt that ended before it was answered. */
  private recordLatencyLowerBound(latencyMs: number, nowMs: number): void {
    if (latencyMs > this.computeLatencyMs(nowMs, 0))
      this.recordLatency(latencyMs, nowMs);
  }

  private recordLatency(latencyMs: number, nowMs: number): void {
    const decayedShare = 1 - computeDecay(this.latencyUpdatedAtMs, nowMs);
    const weight = Math.max(LATENCY_WEIGHT, decayedShare);
    this.latencyMs += (latencyMs - this.latencyMs) * weight;
    this.latencyUpdatedAtMs = nowMs;
  }
}

/** Returns the weight of an observation by its age, from 1 for a new one down to 0. */
export function computeDecay(seenAtMs: number, nowMs: number): number {
  return 0.5 ** ((nowMs - seenAtMs) / HALF_LIFE_MS);
}
