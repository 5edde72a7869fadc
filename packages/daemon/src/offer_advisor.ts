/**
 * Measures the offers that this daemon receives from others and puts its advice what share of their requests to
 * offer into the responses, while it refuses offers for load.
 */
import type {System} from '@dottereldrift/core/system.js';
import {isRefusedForLoad} from '@dottereldrift/routing/attempt_end.js';
import {OfferMeter} from '@dottereldrift/routing/offer_meter.js';

import type {AnswerSink, AttemptResult, Exchange} from './exchange.js';
import {formatOfferShare, OFFER_SHARE_HEADER} from './headers.js';

/** Adds advice on offers to the responses for other daemons. */
export class OfferAdvisor {
  private readonly meter: OfferMeter;

  constructor(system: System) {
    this.meter = new OfferMeter(system);
  }

  /** Runs a request that another daemon offered. */
  async handle(
    exchange: Exchange,
    run: (exchange: Exchange) => Promise<AttemptResult>,
  ): Promise<AttemptResult> {
    const {offeredRequests, kind} = exchange;
    if (offeredRequests === undefined) return run(exchange);
    const withdraw = this.meter.observeOffer(kind.name, offeredRequests);
    const isFull = this.meter.getAdvisedShare(kind.name) < 1;
    const result = await run(
      isFull ? {...exchange, answer: this.createAnswer(exchange)} : exchange,
    );
    if (result.kind === 'answered') return result;
    const {failure} = result;
    if (isRefusedForLoad(failure)) withdraw();
    const offerShare = this.meter.getAdvisedShare(kind.name);
    return {kind: 'failed', failure: {...failure, offerShare}};
  }

  /** Records an offer that is refused unread; returns the share of requests that its sender should offer. */
  refuseUnread(kindName: string, offeredRequests: number): number {
    this.meter.observeOffer(kindName, offeredRequests)();
    return this.meter.getAdvisedShare(kindName);
  }

  /** Creates a sink that adds the advice to the head of the response. */
  private createAnswer({answer, kind}: Exchange): AnswerSink {
    return {
      startAnswer: (status, headers) => {
        const share = this.meter.getAdvisedShare(kind.name);
        answer.startAnswer(status, {
          ...headers,
          [OFFER_SHARE_HEADER]: formatOfferShare(share),
        });
      },
      writeChunk: chunk => answer.writeChunk(chunk),
      waitForDrain: callback => answer.waitForDrain(callback),
      endAnswer: trailers => answer.endAnswer(trailers),
      getBytes: () => answer.getBytes?.() ?? 0,
      abort: () => answer.abort(),
    };
  }
}
