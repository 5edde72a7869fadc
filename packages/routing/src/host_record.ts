/**
 * What this daemon has seen of one host that serves a service.
 */
import type {AttemptEnd} from './host_choice.js';

const LATENCY_WEIGHT = 0.1;
/** Latency of a service of which nothing is known, and the least that is counted. */
const MIN_LATENCY_MS = 1;
/** Time in which half of what was seen of latency and refusals is forgotten. */
const HALF_LIFE_MS = 2_000;
const FAILURES_BEFORE_EJECTION = 5;
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
const WARM_UP_MS = 5_000;
const LEAST_WARM_SHARE = 0.1;
/** How much the cost of a host grows with each recent refusal. */
const REFUSAL_COST = 1;
const MAX_REFUSALS = 20;

/** Requests under way, latency, refusals and failures of one host. */
export class HostRecord {
  private inFlight = 0;
  private latencyMs = 0;
  private latencySeenAtMs = -Infinity;
  private refusals = 0;
  private refusedAtMs = 0;
  private failures = 0;
  private ejections = 0;
  private ejectedUntilMs = 0;
  private warmUpStartMs: number;

  constructor(nowMs: number) {
    this.warmUpStartMs = nowMs;
  }

  /** Counts the host as warm: it was there before this daemon. */
  setWarm(): void {
    this.warmUpStartMs = -Infinity;
  }

  isIdle(): boolean {
    return this.inFlight === 0;
  }

  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs || this.isOnTrial();
  }

  getEjectedUntilMs(): number {
    return this.ejectedUntilMs;
  }

  startAttempt(): void {
    this.inFlight += 1;
  }

  /** `random`, from 0 up to 1, spreads the ends of ejections. */
  finishAttempt(
    end: AttemptEnd,
    latencyMs: number,
    nowMs: number,
    random: number,
  ): void {
    this.inFlight -= 1;
    if (end === 'neutral') return;
    if (end === 'abandoned' || end === 'failed')
      this.recordLeastLatency(latencyMs, nowMs);
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
   * Expected time of one more request here, in a measure that compares hosts of equal slots. What was
   * seen of its latency gives way to the usual one of the service: else a host that is rarely asked
   * would seem the fastest. A host that never answered is worth a try.
   */
  computeCost(nowMs: number, usualMs = MIN_LATENCY_MS): number {
    const latencyMs = Math.max(
      MIN_LATENCY_MS,
      this.computeLatencyMs(nowMs, usualMs),
    );
    const refusals =
      this.refusals === 0
        ? 0
        : this.refusals * computeWeight(this.refusedAtMs, nowMs);
    const pressure = 1 + refusals * REFUSAL_COST;
    const warmShare = Math.max(
      LEAST_WARM_SHARE,
      Math.min(1, (nowMs - this.warmUpStartMs) / WARM_UP_MS),
    );
    return ((this.inFlight + 1) * latencyMs * pressure) / warmShare;
  }

  private computeLatencyMs(nowMs: number, usualMs: number): number {
    if (this.latencySeenAtMs === -Infinity) return MIN_LATENCY_MS;
    const known = computeWeight(this.latencySeenAtMs, nowMs);
    return this.latencyMs * known + usualMs * (1 - known);
  }

  /** After an ejection one request at a time is tried, until one does not fail. */
  private isOnTrial(): boolean {
    return this.ejections > 0 && this.inFlight > 0;
  }

  private recordFailure(nowMs: number, random: number): void {
    this.failures += 1;
    const isEjected = nowMs < this.ejectedUntilMs;
    const isDue =
      this.failures >= FAILURES_BEFORE_EJECTION || this.ejections > 0;
    if (isEjected || !isDue) return;
    const fullMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** this.ejections,
    );
    this.ejections += 1;
    this.ejectedUntilMs = nowMs + fullMs * (0.5 + random);
  }

  private recordRefusal(nowMs: number): void {
    const recent = this.refusals * computeWeight(this.refusedAtMs, nowMs);
    this.refusals = Math.min(MAX_REFUSALS, recent + 1);
    this.refusedAtMs = nowMs;
  }

  /** Takes note that an answer would have taken longer than this: the caller or this daemon waited no longer. */
  private recordLeastLatency(latencyMs: number, nowMs: number): void {
    if (latencyMs > this.computeLatencyMs(nowMs, 0))
      this.recordLatency(latencyMs, nowMs);
  }

  private recordLatency(latencyMs: number, nowMs: number): void {
    const forgotten = 1 - computeWeight(this.latencySeenAtMs, nowMs);
    const weight = Math.max(LATENCY_WEIGHT, forgotten);
    this.latencyMs += (latencyMs - this.latencyMs) * weight;
    this.latencySeenAtMs = nowMs;
  }
}

/** Returns the weight of something seen before, from 1 when it was just seen down to 0. */
export function computeWeight(seenAtMs: number, nowMs: number): number {
  return 0.5 ** ((nowMs - seenAtMs) / HALF_LIFE_MS);
}
