/**
 * Plays callers of several entries against one owner whose daemon has little processor time, and checks what they
 * get with and without the throttling of offers: each offer costs the owner's processor, also one that is refused.
 */
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';
import {ADAPTIVE_OPTIONS} from '@dottereldrift/limits/adaptive_options.js';
import {AdaptivePolicy} from '@dottereldrift/limits/adaptive_policy.js';
import {OfferThrottle} from '@dottereldrift/routing/offer_throttle.js';

const KIND = 'check';
const HOST = 'owner';
const SERVICE_MS = 75;
const GOAL_MS = 200;
const DEADLINE_MS = 800;
const RETURN_MS = GOAL_MS / 4;
const CLIENT_MS = 8;
const DURATION_MS = 20_000;
const LATE_WORTH = 0.3;
/** Times that a caller sends a request. */
const MOST_TRIES = 3;
const SEEDS = [1, 2, 3];

/** What is asked of an owner; loads are multiples of what its slots can run. */
interface Load {
  readonly slots: number;
  readonly entries: number;
  /** Load at a time of the day, from 0 to 1. */
  readonly getLoad: (dayPart: number) => number;
  /** Processor time of the owner's daemon for an offer, and for the run of a request, in milliseconds. */
  readonly offerMs: number;
  readonly runMs: number;
  readonly isThrottled: boolean;
  readonly seed: number;
}

interface Outcome {
  /** Share of what callers could have got: 1 in time, less when late. */
  readonly worth: number;
  readonly served: number;
  /** Offers that the owner's daemon handled, for each request that was served. */
  readonly offersPerServed: number;
  /** The same worth in the last third of the time. */
  readonly lastWorth: number;
}

/** The processor of one daemon: work is done in turn. */
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
  let offers = 0;
  let served = 0;
  const owed = [0, 0, 0];
  const earned = [0, 0, 0];

  const offer = (sentMs: number, entry: number, third: number, tries = 1) => {
    const nowMs = system.getNow().monotonicMs;
    const throttle = throttles[entry];
    if (nowMs - sentMs >= DEADLINE_MS) return;
    const comeBack = () => {
      if (tries === MOST_TRIES) return;
      const atMs = RETURN_MS + 2 * CLIENT_MS;
      system.startTimer(atMs, () => offer(sentMs, entry, third, tries + 1));
    };
    const end = load.isThrottled
      ? throttle?.startOffer(HOST, KIND)
      : () => undefined;
    if (end === undefined) {
      comeBack();
      return;
    }
    offers += 1;
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
                system.getNow().monotonicMs - sentMs + 2 * CLIENT_MS;
              finish(true);
              end(false);
              if (tookMs > DEADLINE_MS) return;
              served += 1;
              earned[third]! += tookMs <= GOAL_MS ? 1 : LATE_WORTH;
            });
          });
        },
        onRefuse: () => {
          end(true);
          comeBack();
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
    owed[third]! += 1;
    system.startTimer(atMs, () =>
      offer(system.getNow().monotonicMs, entry, third),
    );
  }
  system.runUntil(DURATION_MS + DEADLINE_MS);
  const sum = (values: readonly number[]) =>
    values.reduce((all, value) => all + value, 0);
  return {
    worth: sum(earned) / sum(owed),
    served: served / requests,
    offersPerServed: offers / served,
    lastWorth: (earned[2] ?? 0) / (owed[2] ?? 1),
  };
}

/** Plays a load with several seeds and returns the means. */
function runSeeds(load: Omit<Load, 'seed'>): Outcome {
  const outcomes = SEEDS.map(seed => runLoad({...load, seed}));
  const average = (pick: (outcome: Outcome) => number) =>
    outcomes.map(pick).reduce((all, value) => all + value, 0) / SEEDS.length;
  return {
    worth: average(({worth}) => worth),
    served: average(({served}) => served),
    offersPerServed: average(({offersPerServed}) => offersPerServed),
    lastWorth: average(({lastWorth}) => lastWorth),
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
    test(`${slots} slots, ${entries} entries, load ${factor}: with processor time to spare callers lose nothing`, t => {
      const {before, after, figures} = compareLoads({
        slots,
        entries,
        getLoad: () => factor,
        offerMs: 0,
        runMs: 0,
      });
      t.log(figures);
      t.true(after.worth >= before.worth - 0.01, figures);
    });
  }

  test(`${slots} slots, ${entries} entries, four times the load: fewer offers, and more is served by a daemon that is short of processor time`, t => {
    const {before, after, figures} = compareLoads({
      slots,
      entries,
      getLoad: () => 4,
      offerMs: 8 / slots,
      runMs: 24 / slots,
    });
    t.log(figures);
    t.true(after.worth >= before.worth * 1.1, figures);
    t.true(after.offersPerServed <= before.offersPerServed * 0.8, figures);
  });

  test(`${slots} slots, ${entries} entries: all is served again after a crest`, t => {
    const {before, after, figures} = compareLoads({
      slots,
      entries,
      getLoad: part => (part < 0.6 ? 4 : 0.6),
      offerMs: 0,
      runMs: 0,
    });
    t.log(figures);
    t.true(after.lastWorth >= before.lastWorth - 0.02, figures);
  });
}
