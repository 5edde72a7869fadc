/**
 * Simulates a service near its capacity together with a rare kind of very short requests. Guards against a
 * reservation for the rare kind that leaves slots idle.
 */
import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';

import {ADAPTIVE_OPTIONS} from '../src/adaptive_options.js';
import {AdaptivePolicy} from '../src/adaptive_policy.js';

const GOAL_MS = 200;
const DEADLINE_MS = 800;
const DURATION_MS = 60_000;
const CHECK_MS = 51;
const PROBE_MS = 1;
const CHECK_LOAD = 0.85;
/** Largest relative loss of requests answered by their goal that the rare kind may cause. */
const TOLERATED_LOSS = 0.02;

interface Outcome {
  readonly inTime: number;
  readonly mostRunning: number;
}

/** Sends checks at `CHECK_LOAD` times the capacity of the slots, and probes at a fixed rate. */
function runLoad(slots: number, probesPerSecond: number): Outcome {
  const generator = xoroshiro128plus(11);
  const draw = () => uniformFloat64(generator);
  const system = new VirtualSystem(draw);
  const policy = new AdaptivePolicy(system, slots, ADAPTIVE_OPTIONS, () => 256);
  let sent = 0;
  let inTime = 0;
  let mostRunning = 0;
  const send = (kind: string, serviceMs: number) => {
    const sentMs = system.getNow().monotonicMs;
    if (kind === 'check') sent += 1;
    policy.requestSlot({
      kind,
      priority: 5,
      expectedServiceMs: serviceMs,
      deadlineAtMs: sentMs + DEADLINE_MS,
      goalAtMs: sentMs + GOAL_MS,
      caller: '',
      bytes: 0,
      onRun: finish => {
        mostRunning = Math.max(mostRunning, policy.getRunning());
        system.startTimer(serviceMs, () => {
          const tookMs = system.getNow().monotonicMs - sentMs;
          if (kind === 'check' && tookMs <= GOAL_MS) inTime += 1;
          finish(true);
        });
      },
      onRefuse: () => {},
    });
  };
  const gapMs = CHECK_MS / slots / CHECK_LOAD;
  let atMs = 0;
  while (atMs < DURATION_MS) {
    atMs += -Math.log(1 - draw()) * gapMs;
    const serviceMs = CHECK_MS * Math.exp(draw() * 2 - 1) * 0.85;
    system.startTimer(atMs, () => send('check', serviceMs));
  }
  const probes = (probesPerSecond * DURATION_MS) / 1_000;
  for (let probe = 0; probe < probes; probe++) {
    const probeAtMs = (probe * 1_000) / probesPerSecond;
    system.startTimer(probeAtMs, () => send('probe', PROBE_MS));
  }
  system.runUntil(DURATION_MS + DEADLINE_MS);
  return {inTime: inTime / sent, mostRunning};
}

for (const slots of [4, 6, 9]) {
  test(`a rare kind of short requests keeps none of ${slots} slots idle`, t => {
    const alone = runLoad(slots, 0);
    const beside = runLoad(slots, 4);
    const figures = JSON.stringify({alone, beside});
    t.is(beside.mostRunning, slots, figures);
    t.true(beside.inTime >= alone.inTime * (1 - TOLERATED_LOSS), figures);
  });
}
