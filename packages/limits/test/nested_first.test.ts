/**
 * Simulates nested requests and new work on the slots of one server, and checks how many of the runs that
 * wait for nested requests succeed and how much capacity new work keeps.
 */
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {ADAPTIVE_OPTIONS} from '../src/adaptive_options.js';
import {AdaptivePolicy} from '../src/adaptive_policy.js';

const DURATION_MS = 20_000;
/** Concurrent nested requests of one run; the run fails unless all are answered in time. */
const CALLS_PER_RUN = 2;

/** One kind of work, with its mean service time, goal and deadline. */
interface Work {
  readonly kind: string;
  readonly priority: number;
  readonly serviceMs: number;
  readonly goalMs: number;
  readonly deadlineMs: number;
}

const ORDER: Work = {
  kind: 'order',
  priority: 8,
  serviceMs: 66,
  goalMs: 225,
  deadlineMs: 1_000,
};
const SHORT_CALL: Work = {
  kind: 'peek',
  priority: 7,
  serviceMs: 15,
  goalMs: 54,
  deadlineMs: 200,
};
const LONG_CALL: Work = {
  kind: 'audit',
  priority: 7,
  serviceMs: 300,
  goalMs: 450,
  deadlineMs: 1_200,
};

/** Load on a server; `orders` and `calls` are multiples of the capacity of its slots. */
interface Load {
  readonly slots: number;
  readonly orders: number;
  readonly call: Work;
  readonly calls: number;
  readonly isNested: boolean;
}

interface Outcome {
  /** Share of the runs on other servers that got all their answers in time. */
  readonly runs: number;
  /** Share of the total slot time that was spent on served orders. */
  readonly orders: number;
  /** Share of the total slot time that was spent on served calls. */
  readonly calls: number;
  /** Longest time after which a call or an order was refused. */
  readonly refusedAfterMs: number;
}

function runLoad({slots, orders, call, calls, isNested}: Load): Outcome {
  const generator = xoroshiro128plus(5);
  const draw = () => uniformFloat64(generator);
  const system = new VirtualSystem(draw);
  const policy = new AdaptivePolicy(system, slots, ADAPTIVE_OPTIONS, () => 256);
  const busyMs = {orders: 0, calls: 0};
  let runs = 0;
  let succeeded = 0;
  let refusedAfterMs = 0;
  const send = (work: Work, onEnd: (isServed: boolean) => void) => {
    const sentMs = system.getNow().monotonicMs;
    const serviceMs = work.serviceMs * (0.6 + 0.8 * draw());
    policy.requestSlot({
      kind: work.kind,
      priority: work.priority,
      expectedServiceMs: work.goalMs / 4,
      deadlineAtMs: sentMs + work.deadlineMs,
      goalAtMs: sentMs + work.goalMs,
      caller: '',
      bytes: 0,
      isNested: isNested && work === call,
      onRun: finish => {
        system.startTimer(serviceMs, () => {
          const tookMs = system.getNow().monotonicMs - sentMs;
          const isServed = tookMs <= work.deadlineMs;
          if (isServed) busyMs[work === call ? 'calls' : 'orders'] += serviceMs;
          finish(true);
          onEnd(isServed);
        });
      },
      onRefuse: () => {
        const waitedMs = system.getNow().monotonicMs - sentMs;
        refusedAfterMs = Math.max(refusedAfterMs, waitedMs);
        onEnd(false);
      },
    });
  };
  const startRun = () => {
    runs += 1;
    let left = CALLS_PER_RUN;
    const end = (isServed: boolean) => {
      if (isServed) left -= 1;
      if (left === 0) succeeded += 1;
    };
    for (let made = 0; made < CALLS_PER_RUN; made++) send(call, end);
  };
  const startArrivals = (gapMs: number, start: () => void) => {
    let atMs = -Math.log(1 - draw()) * gapMs;
    for (; atMs < DURATION_MS; atMs += -Math.log(1 - draw()) * gapMs)
      system.startTimer(atMs, start);
  };
  startArrivals(ORDER.serviceMs / slots / orders, () => send(ORDER, () => {}));
  startArrivals((call.serviceMs * CALLS_PER_RUN) / slots / calls, startRun);
  system.runUntil(DURATION_MS + ORDER.deadlineMs + call.deadlineMs);
  const slotTimeMs = slots * DURATION_MS;
  return {
    runs: succeeded / runs,
    orders: busyMs.orders / slotTimeMs,
    calls: busyMs.calls / slotTimeMs,
    refusedAfterMs,
  };
}

function formatFigures(figures: Record<string, Outcome>): string {
  return JSON.stringify(figures, (_key, value: unknown) =>
    typeof value === 'number' ? Number(value.toFixed(3)) : value,
  );
}

const SERVERS = [4, 6, 9];

for (const slots of SERVERS) {
  for (const orders of [0.5, 0.9, 1.7]) {
    const name = `${slots} slots, ${(orders + 0.3).toFixed(1)} times their capacity`;
    test(`${name}: runs that wait for short calls succeed, and orders lose only the slots that the calls use`, t => {
      const load = {slots, orders, call: SHORT_CALL, calls: 0.3};
      const before = runLoad({...load, isNested: false});
      const after = runLoad({...load, isNested: true});
      const figures = formatFigures({before, after});
      t.true(after.runs >= 0.97, figures);
      t.true(after.runs >= before.runs, figures);
      const all = before.orders + before.calls;
      t.true(after.orders + after.calls >= all - 0.04, figures);
    });
  }

  test(`${slots} slots: long calls within their quota succeed during an overload of orders`, t => {
    const load = {slots, orders: 1.7, call: LONG_CALL, calls: 0.3};
    const before = runLoad({...load, isNested: false});
    const after = runLoad({...load, isNested: true});
    const figures = formatFigures({before, after});
    t.true(after.runs >= 0.9, figures);
    t.true(after.runs >= before.runs, figures);
  });

  for (const call of [SHORT_CALL, LONG_CALL]) {
    test(`${slots} slots: an overload of ${call.kind} calls leaves part of the slots to new work`, t => {
      const load = {slots, orders: 0.9, call, calls: 2};
      const before = runLoad({...load, isNested: false});
      const after = runLoad({...load, isNested: true});
      const figures = formatFigures({before, after});
      t.true(after.orders >= 0.3, figures);
      t.true(after.calls >= before.calls - 0.02, figures);
    });
  }
}
