/**
 * Draws the fault schedule of a soak run from its seed: single faults and series of one kind, which may overlap.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** The kinds that are drawn unless others are named, including planned operations such as rolling daemon stops. */
const ORDINARY_KINDS = [
  'daemon-killed',
  'daemon-stopped',
  'daemon-frozen',
  'host-suspended',
  'wall-clock-stepped',
  'server-killed',
  'server-frozen',
  'server-leaves',
  'host-loses-power',
  'host-cut-off',
  'host-cut-one-way',
  'store-cut',
  'store-out',
  'store-late',
  'store-answers-lost',
  'store-slow',
  'host-slow',
  'heartbeats-late',
  'all-daemons-killed',
  'all-lose-power',
  'hot-keys-change',
  'heartbeats-delayed',
  'heartbeat-answers-lost',
  'server-cut-off',
  'host-replaced',
  'daemons-rolled',
  'coordinator-killed',
  'store-refuses-hosts',
] as const;

/** Every kind of fault. Those that are drawn only when named leave the plans of known seeds as they were. */
export const FAULT_KINDS = [...ORDINARY_KINDS, 'store-restored'] as const;

/** One of the fault kinds. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A single scheduled fault. */
export interface PlannedFault {
  readonly atMs: number;
  readonly kind: FaultKind;
  /** Index of the affected host; ignored by faults that affect the whole fleet. */
  readonly host: number;
  readonly durationMs: number;
  /** Step of the wall clock in milliseconds; drawn when the fault starts if absent. */
  readonly stepMs?: number;
  /** Age of the copy that the store returns to, in milliseconds; drawn when the fault starts if absent. */
  readonly copyAgeMs?: number;
}

/** Limits within which faults are drawn. */
export interface PlanBounds {
  readonly hosts: number;
  readonly startMs: number;
  readonly endMs: number;
  /** Fault kinds to draw from; the ordinary ones if absent. */
  readonly kinds?: readonly FaultKind[] | undefined;
}

const MIN_SERIES_COUNT = 6;
const SERIES_COUNT_SPREAD = 12;
const MAX_REPEATS = 3;
const MAX_INTERVAL_MS = 2_500;
const MIN_DURATION_MS = 20;
const MAX_DURATION_MS = 5_000;
const REPEAT_SHARE = 0.4;
const SAME_HOST_SHARE = 0.6;

/** Returns the faults drawn from a seed, ordered by start time. */
export function drawFaults(
  seed: number,
  bounds: PlanBounds,
): readonly PlannedFault[] {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const series = MIN_SERIES_COUNT + Math.floor(random() * SERIES_COUNT_SPREAD);
  const faults = Array.from({length: series}, () => drawSeries(random, bounds));
  return faults.flat().sort((a, b) => a.atMs - b.atMs);
}

function drawSeries(
  random: () => number,
  {hosts, startMs, endMs, kinds = ORDINARY_KINDS}: PlanBounds,
): readonly PlannedFault[] {
  const kind = drawKind(random, kinds);
  const isRepeated = random() < REPEAT_SHARE;
  const count = isRepeated ? 1 + Math.ceil(random() * MAX_REPEATS) : 1;
  const firstHost = Math.floor(random() * hosts);
  const intervalMs = random() * MAX_INTERVAL_MS;
  let atMs = startMs + random() * (endMs - startMs);
  return Array.from({length: count}, () => {
    const isSameHost = random() < SAME_HOST_SHARE;
    const host = isSameHost ? firstHost : Math.floor(random() * hosts);
    // Squaring the uniform random number favours short faults: half of them last less than a quarter of the range.
    const durationMs =
      MIN_DURATION_MS + random() ** 2 * (MAX_DURATION_MS - MIN_DURATION_MS);
    const fault = {atMs: Math.min(atMs, endMs), kind, host, durationMs};
    atMs += intervalMs;
    return fault;
  });
}

function drawKind(
  random: () => number,
  kinds: readonly FaultKind[],
): FaultKind {
  const index = Math.floor(random() * kinds.length);
  return kinds[index] ?? 'daemon-killed';
}
