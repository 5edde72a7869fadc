/**
 * Simulates the queue in front of one backend server in virtual time: seeded open-loop arrivals, the slot
 * policy under test, and slots that are held for random service times.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {System} from '@dottereldrift/core/system.js';
import {VirtualSystem} from '@dottereldrift/core/virtual_system.js';
import type {SlotPolicy} from '@dottereldrift/limits/types.js';

import {
  COLD_FACTOR,
  computeMeanServiceMs,
  type KindLoad,
  type Phase,
  type Workload,
} from './overload_workloads.js';

/** Options of one run of the model. */
export interface ModelOptions {
  readonly workload: Workload;
  readonly phases: readonly Phase[];
  readonly slots: number;
  readonly seed: number;
  readonly createPolicy: (system: System, slots: number) => SlotPolicy;
}

/** The result of one simulated request. */
export interface ModelResult {
  readonly kind: string;
  readonly isShort: boolean;
  readonly isStraggler: boolean;
  readonly isHotCaller: boolean;
  readonly arrivedAtMs: number;
  readonly serviceMs: number;
  /** Time from arrival to response; undefined if the request was refused. */
  readonly latencyMs: number | undefined;
  /** Whether the request was answered by its deadline. */
  readonly isOnTime: boolean;
}

const CALLER_COUNT = 50;
/** Time after the last arrival for outstanding requests to finish. */
const DRAIN_MS = 10_000;

/** Runs the model and returns the results in the order in which the requests ended. */
export function runModel(options: ModelOptions): readonly ModelResult[] {
  const arrivals = createRandom(options.seed);
  const system = new VirtualSystem(createRandom(options.seed + 1));
  const policy = options.createPolicy(system, options.slots);
  const results: ModelResult[] = [];
  const lastMs = options.phases.reduce(
    (sum, phase) => sum + phase.durationMs,
    0,
  );
  let atMs = 0;
  for (;;) {
    const load = findLoad(options.phases, atMs);
    atMs += -Math.log(1 - arrivals()) * computeIntervalMs(options, load);
    if (atMs >= lastMs) break;
    system.runUntil(atMs);
    sendRequest(options, system, policy, arrivals, results);
  }
  system.runUntil(lastMs + DRAIN_MS);
  return results;
}

function sendRequest(
  {workload}: ModelOptions,
  system: System,
  policy: SlotPolicy,
  random: () => number,
  results: ModelResult[],
): void {
  const load = drawKind(workload, random());
  const isStraggler = random() < workload.stragglerShare;
  const isHotCaller = random() < workload.hotCallerShare;
  const caller = isHotCaller
    ? 'hot'
    : `caller-${Math.floor(random() * CALLER_COUNT)}`;
  const arrivedAtMs = system.getNow().monotonicMs;
  const coldFactor = arrivedAtMs < workload.coldMs ? COLD_FACTOR : 1;
  const factor = coldFactor * (isStraggler ? workload.stragglerFactor : 1);
  const serviceMs = load.serviceMs * (0.5 + random()) * factor;
  const deadlineAtMs = arrivedAtMs + load.deadlineMs;
  const {kind, isShort} = load;
  const common = {
    kind,
    isShort,
    isStraggler,
    isHotCaller,
    arrivedAtMs,
    serviceMs,
  };
  policy.requestSlot({
    kind,
    priority: load.priority,
    expectedServiceMs: load.serviceMs,
    deadlineAtMs,
    caller,
    bytes: 0,
    onRefuse: () => {
      results.push({...common, latencyMs: undefined, isOnTime: false});
    },
    onRun: finish => {
      system.startTimer(serviceMs, () => {
        const nowMs = system.getNow().monotonicMs;
        const latencyMs = nowMs - arrivedAtMs;
        results.push({...common, latencyMs, isOnTime: nowMs <= deadlineAtMs});
        finish(true);
      });
    },
  });
}

function drawKind({kinds}: Workload, draw: number): KindLoad {
  let remaining = draw;
  for (const load of kinds) {
    remaining -= load.share;
    if (remaining < 0) return load;
  }
  return kinds[kinds.length - 1] as KindLoad;
}

function findLoad(phases: readonly Phase[], atMs: number): number {
  let remainingMs = atMs;
  for (const phase of phases) {
    if (remainingMs < phase.durationMs) return phase.load;
    remainingMs -= phase.durationMs;
  }
  return phases[phases.length - 1]?.load ?? 0;
}

function computeIntervalMs(options: ModelOptions, load: number): number {
  return computeMeanServiceMs(options.workload) / options.slots / load;
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
