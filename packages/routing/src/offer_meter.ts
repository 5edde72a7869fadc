/**
 * Measures at a host how many requests of each kind other daemons have for it and how many of them it accepts, and
 * advises them what share of their requests to offer. In a large fleet no daemon has enough requests for one
 * host to know this by itself.
 */
import type {System} from '@dottereldrift/core/system.js';

import {ExpiringRecords} from './expiring_records.js';
import {OfferCounts} from './offer_counts.js';

/** Offers per accepted offer; the surplus keeps the queue of the host full. */
const MAX_OFFERS_PER_ACCEPTED = 1.5;
/** Recent offers that are always welcome, so that a host that accepts nothing shows when it does again. */
const MIN_OFFERS = 1;
/** Half-life of the counts. */
const HALF_LIFE_MS = 300;
/** Time after the last refusal of an offer from which a host counts as free again. */
const FULL_MEMORY_MS = 200;

interface KindRecord {
  readonly counts: OfferCounts;
  refusedAtMs: number;
}

/** Counts of the offers that a host receives. */
export class OfferMeter {
  private readonly kinds: ExpiringRecords<KindRecord>;

  constructor(private readonly system: System) {
    this.kinds = new ExpiringRecords(system, nowMs => ({
      counts: new OfferCounts(HALF_LIFE_MS, nowMs),
      refusedAtMs: -Infinity,
    }));
  }

  /**
   * Records an offer and the number of requests of its sender that it stands for, including those that the sender
   * refused itself. Returns a function to call if the offer is refused for load.
   */
  observeOffer(kind: string, requests: number): () => void {
    const startedAtMs = this.getNowMs();
    const record = this.kinds.getRecord(kind);
    const {counts} = record;
    counts.addRequests(requests, startedAtMs);
    counts.addAccepted(startedAtMs);
    return () => {
      record.refusedAtMs = this.getNowMs();
      counts.withdrawAccepted(startedAtMs, record.refusedAtMs);
    };
  }

  /** Returns the share of its requests of a kind, at most 1, that a daemon should offer to this host. */
  getAdvisedShare(kind: string): number {
    const nowMs = this.getNowMs();
    const {counts, refusedAtMs} = this.kinds.getRecord(kind);
    if (nowMs - refusedAtMs > FULL_MEMORY_MS) return 1;
    const welcome =
      MAX_OFFERS_PER_ACCEPTED * counts.getAccepted(nowMs) + MIN_OFFERS;
    return Math.min(1, welcome / Math.max(welcome, counts.getRequests(nowMs)));
  }

  private getNowMs(): number {
    return this.system.getNow().monotonicMs;
  }
}
