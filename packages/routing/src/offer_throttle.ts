/**
 * Adaptive client-side throttling of requests that are offered to other daemons. During sustained overload
 * of a host, every refused offer costs both daemons processor time that served requests need. Such a host is
 * offered a multiple of what it recently accepted, selected at random: enough to keep its queue full
 * and to detect free capacity quickly. A daemon with few requests for a host follows the host's own advice.
 */
import type {System} from '@dottereldrift/core/system.js';

import {ExpiringRecords} from './expiring_records.js';
import {OfferCounts} from './offer_counts.js';

/** Offers per recently accepted offer; the surplus keeps the queue of the host full. */
const MAX_OFFERS_PER_ACCEPTED = 2;
/** Recent requests that are always offered, so that a host with few is not throttled by chance. */
const UNTHROTTLED_REQUESTS = 1;
/** Half-life of the counts. */
const HALF_LIFE_MS = 300;
/** Time over which the advice of a host loses its effect, unless a response renews it. */
const ADVICE_LIFE_MS = 3_000;

interface OfferRecord {
  readonly counts: OfferCounts;
  /** Requests since the last offer, which were not offered. */
  withheld: number;
  /** Share of the requests that the host last advised to offer. */
  advisedShare: number;
  advisedAtMs: number;
}

/** An offer of a request to a host. */
export interface Offer {
  /** Number of requests that the offer stands for, including those withheld since the one before. */
  readonly requests: number;
  /**
   * Records the result of the offer. To be called once, with the share of requests that the host advises to
   * offer; undefined if there was no response.
   */
  end(isRefused: boolean, advisedShare: number | undefined): void;
}

/** Throttles offers by host and kind of request. */
export class OfferThrottle {
  private readonly records: ExpiringRecords<OfferRecord>;

  constructor(private readonly system: System) {
    this.records = new ExpiringRecords(system, nowMs => ({
      counts: new OfferCounts(HALF_LIFE_MS, nowMs),
      withheld: 0,
      advisedShare: 1,
      advisedAtMs: nowMs,
    }));
  }

  /**
   * Records a request for a host. Returns undefined if it must not be offered. Until an offer ends it counts as
   * accepted, because the result of a long request is known late.
   */
  startOffer(host: string, kind: string): Offer | undefined {
    const startedAtMs = this.getNowMs();
    const record = this.records.getRecord(`${host} ${kind}`);
    const {counts} = record;
    const share = Math.min(
      computeShare(counts, startedAtMs),
      computeAdvisedShare(record, startedAtMs),
    );
    counts.addRequests(1, startedAtMs);
    if (share < 1 && this.system.getRandom() >= share) {
      record.withheld += 1;
      return undefined;
    }
    counts.addAccepted(startedAtMs);
    const requests = record.withheld + 1;
    record.withheld = 0;
    return {
      requests,
      end: (isRefused, advisedShare) => {
        const endedAtMs = this.getNowMs();
        if (isRefused) counts.withdrawAccepted(startedAtMs, endedAtMs);
        if (advisedShare === undefined) return;
        record.advisedShare = advisedShare;
        record.advisedAtMs = endedAtMs;
      },
    };
  }

  private getNowMs(): number {
    return this.system.getNow().monotonicMs;
  }
}

/** Returns the share of requests to offer by what this daemon has seen of the host. */
function computeShare(counts: OfferCounts, nowMs: number): number {
  const requests = counts.getRequests(nowMs);
  const excess =
    requests -
    MAX_OFFERS_PER_ACCEPTED * counts.getAccepted(nowMs) -
    UNTHROTTLED_REQUESTS;
  return excess > 0 ? 1 - excess / (requests + 1) : 1;
}

/** Returns the share that a host advised, which approaches 1 as the advice gets older. */
function computeAdvisedShare(
  {advisedShare, advisedAtMs}: OfferRecord,
  nowMs: number,
): number {
  const left = Math.max(0, 1 - (nowMs - advisedAtMs) / ADVICE_LIFE_MS);
  return 1 - (1 - advisedShare) * left;
}
