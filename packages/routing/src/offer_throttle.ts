/**
 * Adaptive client-side throttling of requests that are offered to other daemons. During sustained overload
 * of a host, every refused offer costs both daemons processor time that served requests need. Such a host is
 * offered a multiple of what it recently accepted, selected at random: enough to keep its queue full
 * and to detect free capacity quickly.
 */
import type {System} from '@dottereldrift/core/system.js';

/** Offers per recently accepted offer; the surplus keeps the queue of the host full. */
const MAX_OFFERS_PER_ACCEPTED = 2;
/** Recent requests that are always offered, so that a host with few is not throttled by chance. */
const UNTHROTTLED_REQUESTS = 1;
/** Half-life of the counts. */
const HALF_LIFE_MS = 300;
/** Time without requests after which a record is deleted. */
const IDLE_EXPIRY_MS = 10_000;
const SWEEP_INTERVAL_MS = 10_000;

interface OfferRecord {
  /** Decayed number of requests for the host, offered or not. */
  requests: number;
  /** Decayed number of offers that have not been refused for load. */
  accepted: number;
  seenAtMs: number;
}

/** Throttles offers by host and kind of request. */
export class OfferThrottle {
  private readonly records = new Map<string, OfferRecord>();
  private sweptAtMs = 0;

  constructor(private readonly system: System) {}

  /**
   * Records a request for a host. Returns undefined if it must not be offered, otherwise a function to
   * call once with the result of the offer. Until then the offer counts as accepted, because the result
   * of a long request is known late.
   */
  startOffer(
    host: string,
    kind: string,
  ): ((isRefused: boolean) => void) | undefined {
    const startedAtMs = this.system.getNow().monotonicMs;
    const record = this.getRecord(host, kind);
    const excess =
      record.requests -
      MAX_OFFERS_PER_ACCEPTED * record.accepted -
      UNTHROTTLED_REQUESTS;
    record.requests += 1;
    if (excess > 0 && this.system.getRandom() < excess / record.requests)
      return undefined;
    record.accepted += 1;
    return isRefused => {
      if (isRefused) this.withdrawAccepted(host, kind, startedAtMs);
    };
  }

  private withdrawAccepted(
    host: string,
    kind: string,
    startedAtMs: number,
  ): void {
    const record = this.getRecord(host, kind);
    const decay = computeDecay(startedAtMs, record.seenAtMs);
    record.accepted = Math.max(0, record.accepted - decay);
  }

  private getRecord(host: string, kind: string): OfferRecord {
    const nowMs = this.system.getNow().monotonicMs;
    this.dropIdle(nowMs);
    const key = `${host} ${kind}`;
    const existing = this.records.get(key);
    if (existing === undefined) {
      const record = {requests: 0, accepted: 0, seenAtMs: nowMs};
      this.records.set(key, record);
      return record;
    }
    const decay = computeDecay(existing.seenAtMs, nowMs);
    existing.requests *= decay;
    existing.accepted *= decay;
    existing.seenAtMs = nowMs;
    return existing;
  }

  private dropIdle(nowMs: number): void {
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.sweptAtMs = nowMs;
    for (const [key, {seenAtMs}] of this.records)
      if (nowMs - seenAtMs >= IDLE_EXPIRY_MS) this.records.delete(key);
  }
}

/** Returns the share of a count that is left after the time between two moments. */
function computeDecay(seenAtMs: number, nowMs: number): number {
  return 0.5 ** ((nowMs - seenAtMs) / HALF_LIFE_MS);
}
