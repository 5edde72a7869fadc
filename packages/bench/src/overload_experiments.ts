/**
 * The experiments of the overload model, and the rows of figures that they give.
 */
import {
  computeFigures,
  computeRecoveryMs,
  type OverloadFigures,
} from './overload_figures.js';
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

/** One experiment. */
export interface Experiment {
  readonly name: string;
  readonly workload: Workload;
  readonly phases: readonly Phase[];
  /** Index of the phase whose figures are taken. */
  readonly measured: number;
}

/** Figures of one policy in one experiment. */
export interface OverloadRow extends OverloadFigures {
  readonly experiment: string;
  readonly policy: string;
  readonly slots: number;
  /** After the measured phase, until short work is served in time again; 0 without a later phase. */
  readonly recoveryMs: number;
}

const WARM_UP: Phase = {load: 0.5, durationMs: 2_000};
const MEASURED_MS = 20_000;
const SWING_MS = 5_000;
const RECOVERY_BOUND_MS = 50;
const HOT_CALLER_SHARE = 0.8;
const COLD_MS = 2_000;

/** Every experiment. */
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
    measured: 0,
  },
];

/** Runs one experiment with one policy. */
export function runExperiment(
  experiment: Experiment,
  policy: NamedPolicy,
  slots: number,
  seed: number,
): OverloadRow {
  const {workload, phases, measured} = experiment;
  const createPolicy = policy.create;
  const results = runModel({workload, phases, slots, seed, createPolicy});
  const fromMs = sumDurations(phases.slice(0, measured));
  const toMs = fromMs + (phases[measured]?.durationMs ?? 0);
  const endMs = sumDurations(phases);
  return {
    experiment: experiment.name,
    policy: policy.name,
    slots,
    ...computeFigures(results, slots, {fromMs, toMs}),
    recoveryMs: computeRecoveryMs(
      results,
      {fromMs: toMs, toMs: endMs},
      RECOVERY_BOUND_MS,
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
    measured: 1,
  };
}

function createSwing(
  name: string,
  workload: Workload,
  load: number,
): Experiment {
  const calm = {load, durationMs: SWING_MS};
  return {
    name: `${name} swing ${load}-5-${load}x`,
    workload,
    phases: [calm, {load: 5, durationMs: SWING_MS}, calm],
    measured: 1,
  };
}

function sumDurations(phases: readonly Phase[]): number {
  return phases.reduce((sum, phase) => sum + phase.durationMs, 0);
}
