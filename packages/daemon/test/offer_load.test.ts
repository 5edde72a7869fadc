/**
 * Simulates callers of several entries that overload one owner with little processor time, and compares their
 * results with and without offer throttling. Every offer costs processor time of the owner, even if it is refused.
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
const HOST = 'owner';
const SERVICE_MS = 75;
const GOAL_MS = 200;
const DEADLINE_MS = 800;
const RETRY_AFTER_MS = GOAL_MS / 4;
const CLIENT_DELAY_MS = 8;
const DURATION_MS = 20_000;
const LATE_UTILITY = 0.3;
const UNTHROTTLED_OFFER: Offer = {requests: 1, end: () => {}};
/** Maximum number of times that a caller sends a request. */
const MAX_TRIES = 3;
const SEEDS = [1, 2, 3];

/** A simulated load on one owner. */
interface Load {
  readonly slots: number;
  readonly entries: number;
  /** Load, as a multiple of the capacity of the slots, at a fraction of the simulated time from 0 to 1. */
  readonly getLoad: (timeFraction: number) => number;
  /** Processor time of the owner's daemon for an offer, in milliseconds. */
  readonly offerMs: number;
  /** Processor time of the owner's daemon for running a request, in milliseconds. */
  readonly runMs: number;
  readonly isThrottled: boolean;
  readonly seed: number;
}

interface Outcome {
  /** Fraction of the attainable utility; a request counts 1 within its latency goal and less when late. */
  readonly utility: number;
  readonly served: number;
  /** Offers that the owner's daemon handled per request that was served. */
  readonly offersPerServed: number;
  /** The same fraction for the last third of the simulated time. */
  readonly lastUtility: number;
}

/** The processor of one daemon, which executes work sequentially. */
class Processor {
  private freeAtMs = 0;

  constructor(private readonly system: VirtualSystem) {}

  run(workMs: number, onDone: () => void): void {
    const nowMs = this.system.getNow().monotonicMs;
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + workMs;
    this.system.startTimer(this.freeAtMs - nowMs, onDone);
  }
}

function runLoad(load: Load): Outcome {
  const generator = xoroshiro128plus(load.seed);
  const draw = () => uniformFloat64(generator);
  const system = new VirtualSystem(draw);
  const policy = new AdaptivePolicy(
    system,
    load.slots,
    ADAPTIVE_OPTIONS,
    () => 256,
  );
  const processor = new Processor(system);
  const throttles = Array.from(
    {length: load.entries},
    () => new OfferThrottle(system),
  );
  const meter = new OfferMeter(system);
  let offers = 0;
  let served = 0;
  const attainable = [0, 0, 0];
  const attained = [0, 0, 0];

  const offer = (sentMs: number, entry: number, third: number, tries = 1) => {
    const nowMs = system.getNow().monotonicMs;
    const throttle = throttles[entry];
    if (nowMs - sentMs >= DEADLINE_MS) return;
    const retryLater = () => {
      if (tries === MAX_TRIES) return;
      const atMs = RETRY_AFTER_MS + 2 * CLIENT_DELAY_MS;
      system.startTimer(atMs, () => offer(sentMs, entry, third, tries + 1));
    };
    const started = load.isThrottled
      ? throttle?.startOffer(HOST, KIND)
      : UNTHROTTLED_OFFER;
    if (started === undefined) {
      retryLater();
      return;
    }
    offers += 1;
    const withdraw = meter.observeOffer(KIND, started.requests);
    const end = (isRefused: boolean) =>
      started.end(isRefused, meter.getAdvisedShare(KIND));
    processor.run(load.offerMs, () => {
      policy.requestSlot({
        kind: KIND,
        priority: 7,
        expectedServiceMs: GOAL_MS / 4,
        deadlineAtMs: sentMs + DEADLINE_MS,
        goalAtMs: nowMs + GOAL_MS * 0.9,
        caller: '',
        bytes: 0,
        onRun: finish => {
          const serviceMs = SERVICE_MS * (0.5 + draw());
          processor.run(load.runMs, () => {
            system.startTimer(serviceMs, () => {
              const tookMs =
                system.getNow().monotonicMs - sentMs + 2 * CLIENT_DELAY_MS;
              finish(true);
              end(false);
              if (tookMs > DEADLINE_MS) return;
              served += 1;
              attained[third]! += tookMs <= GOAL_MS ? 1 : LATE_UTILITY;
            });
          });
        },
        onRefuse: () => {
          withdraw();
          end(true);
          retryLater();
        },
      });
    });
  };

  let atMs = 0;
  let requests = 0;
  while (atMs < DURATION_MS) {
    const rate = load.getLoad(atMs / DURATION_MS) * (load.slots / SERVICE_MS);
    atMs += -Math.log(1 - draw()) / rate;
    const third = Math.min(2, Math.floor((3 * atMs) / DURATION_MS));
    const entry = requests % load.entries;
    requests += 1;
    attainable[third]! += 1;
    system.startTimer(atMs, () =>
      offer(system.getNow().monotonicMs, entry, third),
    );
  }
  system.runUntil(DURATION_MS + DEADLINE_MS);
  const sum = (values: readonly number[]) =>
    values.reduce((all, value) => all + value, 0);
  return {
    utility: sum(attained) / sum(attainable),
    served: served / requests,
    offersPerServed: offers / served,
    lastUtility: (attained[2] ?? 0) / (attainable[2] ?? 1),
  };
}

/** Simulates a load with several seeds and returns the mean results. */
function runSeeds(load: Omit<Load, 'seed'>): Outcome {
  const outcomes = SEEDS.map(seed => runLoad({...load, seed}));
  const average = (pick: (outcome: Outcome) => number) =>
    outcomes.map(pick).reduce((all, value) => all + value, 0) / SEEDS.length;
  return {
    utility: average(({utility}) => utility),
    served: average(({served}) => served),
    offersPerServed: average(({offersPerServed}) => offersPerServed),
    lastUtility: average(({lastUtility}) => lastUtility),
  };
}

function compareLoads(load: Omit<Load, 'isThrottled' | 'seed'>) {
  const before = runSeeds({...load, isThrottled: false});
  const after = runSeeds({...load, isThrottled: true});
  const figures = JSON.stringify({before, after}, (_key, value: unknown) =>
    typeof value === 'number' ? Number(value.toFixed(3)) : value,
  );
  return {before, after, figures};
}

for (const [slots, entries] of [
  [4, 14],
  [6, 14],
  [6, 66],
  [9, 14],
] as const) {
  for (const factor of [0.6, 1, 2, 4]) {
    test(`${slots} slots, ${entries} entries, load ${factor}: throttling does not harm callers while processor time is free`, t => {
      const {before, after, figures} = compareLoads({
        slots,
        entries,
        getLoad: () => factor,
        offerMs: 0,
        runMs: 0,
      });
      t.log(figures);
      t.true(after.utility >= before.utility - 0.01, figures);
    });
  }

  test(`${slots} slots, ${entries} entries, load 4, processor time scarce: throttling makes fewer offers and serves more`, t => {
    const {before, after, figures} = compareLoads({
      slots,
      entries,
      getLoad: () => 4,
      offerMs: 8 / slots,
      runMs: 24 / slots,
    });
    t.log(figures);
    t.true(after.utility >= before.utility * 1.1, figures);
    t.true(after.offersPerServed <= before.offersPerServed * 0.8, figures);
  });

  test(`${slots} slots, ${entries} entries: service recovers after a load peak`, t => {
    const {before, after, figures} = compareLoads({
      slots,
      entries,
      getLoad: timeFraction => (timeFraction < 0.6 ? 4 : 0.6),
      offerMs: 0,
      runMs: 0,
    });
    t.log(figures);
    t.true(after.lastUtility >= before.lastUtility - 0.02, figures);
  });
}
