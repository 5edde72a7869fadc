/**
 * Client-side throttling of the offers of requests to other daemons. Answers lasting overload of one host: there each
 * offer costs both daemons the processor time of a hop, which the requests that are served need. A host
 * that refuses most is offered a multiple of what it accepted lately, drawn by chance, so that its queue stays full
 * and more room is found as soon as there is some.
 */
import type {System} from '@dottereldrift/core/system.js';

/** Times the accepted offers of late that are made; what is above keeps the queue full between two of them. */
const OFFERS_PER_ACCEPTED = 2;
/** Offers of late that are always made, so that a host with few requests is not judged by chance. */
const FREE_OFFERS = 1;
/** Time in which half of what was seen is forgotten. */
const HALF_LIFE_MS = 300;
/** Time after which a host that was not asked is forgotten. */
const FORGET_MS = 10_000;
const SWEEP_INTERVAL_MS = 10_000;

interface OfferRecord {
  /** Requests that came for the host, offered or not, decayed. */
  wanted: number;
  /** Offers that were not refused for load so far, decayed. */
  accepted: number;
  seenAtMs: number;
}

/** Follows what hosts accept, by kind of request. */
export class OfferThrottle {
  private readonly records = new Map<string, OfferRecord>();
  private sweptAtMs = 0;

  constructor(private readonly system: System) {}

  /**
   * Takes note of a request for a host. Returns what ends its offer, once; undefined when it is not to be
   * offered. Until an offer has ended it counts as accepted, for long requests say nothing for long.
   */
  startOffer(
    host: string,
    kind: string,
  ): ((isRefused: boolean) => void) | undefined {
    const startedAtMs = this.system.getNow().monotonicMs;
    const record = this.getRecord(host, kind);
    const surplus =
      record.wanted - OFFERS_PER_ACCEPTED * record.accepted - FREE_OFFERS;
    record.wanted += 1;
    if (surplus > 0 && this.system.getRandom() < surplus / record.wanted)
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
    const share = computeShare(startedAtMs, record.seenAtMs);
    record.accepted = Math.max(0, record.accepted - share);
  }

  private getRecord(host: string, kind: string): OfferRecord {
    const nowMs = this.system.getNow().monotonicMs;
    this.dropOld(nowMs);
    const key = `${host} ${kind}`;
    const present = this.records.get(key);
    if (present === undefined) {
      const record = {wanted: 0, accepted: 0, seenAtMs: nowMs};
      this.records.set(key, record);
      return record;
    }
    const share = computeShare(present.seenAtMs, nowMs);
    present.wanted *= share;
    present.accepted *= share;
    present.seenAtMs = nowMs;
    return present;
  }

  private dropOld(nowMs: number): void {
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.sweptAtMs = nowMs;
    for (const [key, {seenAtMs}] of this.records)
      if (nowMs - seenAtMs >= FORGET_MS) this.records.delete(key);
  }
}

/** Returns the part of what was seen at a time that is remembered. */
function computeShare(seenAtMs: number, nowMs: number): number {
  return 0.5 ** ((nowMs - seenAtMs) / HALF_LIFE_MS);
}
