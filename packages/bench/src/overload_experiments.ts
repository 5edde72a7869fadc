/**
 * Defines the experiments of the overload model and runs them.
 */
import {
  computeMetrics,
  computeRecoveryMs,
  type OverloadMetrics,
} from './overload_metrics.js';
import {runModel} from './overload_model.js';
import type {NamedPolicy} from './overload_policies.js';
import {
  createHiddenStragglers,
  createLongKind,
  MIXED,
  type Phase,
  READS,
  UNEVEN,
  URGENT,
  type Workload,
} from './overload_workloads.js';

/** A workload whose load changes in phases, one of which is measured. */
export interface Experiment {
  readonly name: string;
  readonly workload: Workload;
  readonly phases: readonly Phase[];
  /** Index of the measured phase. */
  readonly measuredPhase: number;
}

/** Metrics of one policy in one experiment. */
export interface OverloadRow extends OverloadMetrics {
  readonly experiment: string;
  readonly policy: string;
  readonly slots: number;
  /**
   * Time from the end of the measured phase until short requests are served with low latency again; 0 if no
   * phase follows.
   */
  readonly recoveryMs: number;
}

const WARM_UP: Phase = {load: 0.5, durationMs: 2_000};
const MEASURED_MS = 20_000;
const SWING_MS = 5_000;
const RECOVERY_LATENCY_MS = 50;
const HOT_CALLER_SHARE = 0.8;
const COLD_MS = 2_000;

/** All experiments of the model. */
export const EXPERIMENTS: readonly Experiment[] = [
  ...[0.5, 1, 2, 5].map(load => createSteady('reads', READS, load)),
  ...[0.5, 1, 2, 5].map(load => createSteady('mixed', MIXED, load)),
  createSteady('hidden 1%', createHiddenStragglers(0.01), 0.5),
  createSteady('hidden 5%', createHiddenStragglers(0.05), 0.5),
  createSteady('batches 1%', createLongKind(0.01), 0.5),
  createSteady('batches 5%', createLongKind(0.05), 0.5),
  createSteady('uneven', UNEVEN, 0.8),
  createSteady('urgent', URGENT, 2),
  createSwing('reads', READS, 0.8),
  createSwing('mixed', MIXED, 0.8),
  createSwing('mixed', MIXED, 1),
  createSteady('hot caller', {...READS, hotCallerShare: HOT_CALLER_SHARE}, 2),
  {
    name: 'cold 0.8x',
    workload: {...READS, coldMs: COLD_MS},
    phases: [
      {load: 0.8, durationMs: COLD_MS},
      {load: 0.8, durationMs: SWING_MS},
    ],
    measuredPhase: 0,
  },
];

/** Runs one experiment with one slot policy and returns its metrics. */
export function runExperiment(
  experiment: Experiment,
  policy: NamedPolicy,
  slots: number,
  seed: number,
): OverloadRow {
  const {workload, phases, measuredPhase: measured} = experiment;
  const createPolicy = policy.create;
  const results = runModel({workload, phases, slots, seed, createPolicy});
  const fromMs = sumDurations(phases.slice(0, measured));
  const toMs = fromMs + (phases[measured]?.durationMs ?? 0);
  const endMs = sumDurations(phases);
  return {
    experiment: experiment.name,
    policy: policy.name,
    slots,
    ...computeMetrics(results, slots, {fromMs, toMs}),
    recoveryMs: computeRecoveryMs(
      results,
      {fromMs: toMs, toMs: endMs},
      RECOVERY_LATENCY_MS,
    ),
  };
}

function createSteady(
  name: string,
  workload: Workload,
  load: number,
): Experiment {
  return {
    name: `${name} ${load}x`,
    workload,
    phases: [WARM_UP, {load, durationMs: MEASURED_MS}],
    measuredPhase: 1,
  };
}

function createSwing(
  name: string,
  workload: Workload,
  load: number,
): Experiment {
  const baseline = {load, durationMs: SWING_MS};
  return {
    name: `${name} swing ${load}-5-${load}x`,
    workload,
    phases: [baseline, {load: 5, durationMs: SWING_MS}, baseline],
    measuredPhase: 1,
  };
}

function sumDurations(phases: readonly Phase[]): number {
  return phases.reduce((sum, phase) => sum + phase.durationMs, 0);
}
