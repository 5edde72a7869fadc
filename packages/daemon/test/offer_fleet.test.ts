/**
 * Simulates callers of a large fleet whose entries have few requests for each owner, and counts the offers that
 * owners refuse and the requests that are refused although their owner is free.
 */
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';
import {ADAPTIVE_OPTIONS} from '@dottereldrift/limits/adaptive_options.js';
import {AdaptivePolicy} from '@dottereldrift/limits/adaptive_policy.js';
import {OfferMeter} from '@dottereldrift/routing/offer_meter.js';
import {
  type Offer,
  OfferThrottle,
} from '@dottereldrift/routing/offer_throttle.js';

const KIND = 'check';
const ENTRIES = 66;
const OWNERS = 35;
const SLOTS = 4;
const SERVICE_MS = 140;
const GOAL_MS = 400;
const DEADLINE_MS = 1_500;
const RETRY_AFTER_MS = GOAL_MS / 4;
const MAX_TRIES = 2;
const DURATION_MS = 15_000;
const LATE_UTILITY = 0.3;
const UNTHROTTLED_OFFER: Offer = {requests: 1, end: () => {}};

interface FleetLoad {
  /** Load of an owner, as a multiple of its capacity. */
  readonly getLoad: (owner: number) => number;
  readonly isThrottled: boolean;
}

interface FleetOutcome {
  /** Mean value of a request: 1 if answered within the goal, less if late. */
  readonly utility: number;
  readonly offersPerServed: number;
  /** Share of the requests for owners loaded below their capacity that were served. */
  readonly servedAtFree: number;
}

function runFleet({getLoad, isThrottled}: FleetLoad): FleetOutcome {
  const generator = xoroshiro128plus(7);
  const draw = () => uniformFloat64(generator);
  const system = new VirtualSystem(draw);
  const policies = Array.from(
    {length: OWNERS},
    () => new AdaptivePolicy(system, SLOTS, ADAPTIVE_OPTIONS, () => 256),
  );
  const meters = policies.map(() => new OfferMeter(system));
  const throttles = Array.from(
    {length: ENTRIES},
    () => new OfferThrottle(system),
  );
  let requests = 0;
  let offers = 0;
  let served = 0;
  let utility = 0;
  let requestsAtFree = 0;
  let servedAtFree = 0;

  const send = (owner: number, entry: number, sentMs: number, tries = 1) => {
    const nowMs = system.getNow().monotonicMs;
    const retryLater = () => {
      if (tries === MAX_TRIES) return;
      system.startTimer(RETRY_AFTER_MS, () => {
        send(owner, entry, sentMs, tries + 1);
      });
    };
    const offer = isThrottled
      ? throttles[entry]?.startOffer(`owner-${owner}`, KIND)
      : UNTHROTTLED_OFFER;
    if (offer === undefined) {
      retryLater();
      return;
    }
    offers += 1;
    const withdraw = meters[owner]?.observeOffer(KIND, offer.requests);
    const getShare = () => meters[owner]?.getAdvisedShare(KIND);
    policies[owner]?.requestSlot({
      kind: KIND,
      priority: 2,
      expectedServiceMs: GOAL_MS / 4,
      deadlineAtMs: sentMs + DEADLINE_MS,
      goalAtMs: nowMs + GOAL_MS * 0.9,
      caller: '',
      bytes: 0,
      onRun: finish => {
        system.startTimer(SERVICE_MS * (0.5 + draw()), () => {
          finish(true);
          offer.end(false, getShare());
          const tookMs = system.getNow().monotonicMs - sentMs;
          served += 1;
          utility += tookMs <= GOAL_MS ? 1 : LATE_UTILITY;
          if (getLoad(owner) < 1) servedAtFree += 1;
        });
      },
      onRefuse: () => {
        withdraw?.();
        offer.end(true, getShare());
        retryLater();
      },
    });
  };

  for (let owner = 0; owner < OWNERS; owner++) {
    const rate = getLoad(owner) * (SLOTS / SERVICE_MS);
    for (let atMs = 0; atMs < DURATION_MS;) {
      atMs += -Math.log(1 - draw()) / rate;
      requests += 1;
      if (getLoad(owner) < 1) requestsAtFree += 1;
      const entry = Math.floor(draw() * ENTRIES);
      system.startTimer(atMs, () => {
        send(owner, entry, system.getNow().monotonicMs);
      });
    }
  }
  system.runUntil(DURATION_MS + DEADLINE_MS);
  return {
    utility: utility / requests,
    offersPerServed: offers / served,
    servedAtFree: requestsAtFree === 0 ? 1 : servedAtFree / requestsAtFree,
  };
}

function compareFleets(getLoad: FleetLoad['getLoad']) {
  const before = runFleet({getLoad, isThrottled: false});
  const after = runFleet({getLoad, isThrottled: true});
  const figures = JSON.stringify({before, after}, (_key, value: unknown) =>
    typeof value === 'number' ? Number(value.toFixed(3)) : value,
  );
  return {before, after, figures};
}

for (const factor of [2, 4]) {
  test(`entries of a large fleet make few offers that full owners refuse, load ${factor}`, t => {
    const {before, after, figures} = compareFleets(() => factor);
    t.log(figures);
    const refusedBefore = before.offersPerServed - 1;
    t.true(after.offersPerServed - 1 <= refusedBefore / 2, figures);
    t.true(after.utility >= before.utility - 0.02, figures);
  });
}

test('owners with free slots get nearly all of their requests while the other owners are full', t => {
  const {before, after, figures} = compareFleets(owner =>
    owner % 2 === 0 ? 0.5 : 4,
  );
  t.log(figures);
  t.true(after.servedAtFree >= 0.97, figures);
  t.true(after.utility >= before.utility - 0.02, figures);
});

test('a load below the capacity is not throttled', t => {
  const {before, after, figures} = compareFleets(() => 0.7);
  t.log(figures);
  t.true(after.utility >= before.utility - 0.01, figures);
});
