/**
 * Draws the faults of a soak from a seed: single ones and series, one after the other and together.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** What may go wrong, and what is planned. */
export const FAULT_KINDS = [
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

/** Kind of a fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault that strikes once. */
export interface PlannedFault {
  readonly atMs: number;
  readonly kind: FaultKind;
  /** Index of the host that it strikes; faults of the whole fleet ignore it. */
  readonly host: number;
  readonly forMs: number;
  /** Step of a clock, in milliseconds; drawn when the fault strikes if absent. */
  readonly stepMs?: number;
}

/** Bounds of a plan. */
export interface PlanBounds {
  readonly hosts: number;
  readonly startMs: number;
  readonly endMs: number;
  /** Kinds that are drawn from; all when absent. */
  readonly kinds?: readonly FaultKind[] | undefined;
}

const MIN_SERIES = 6;
const SERIES_SPREAD = 12;
const MAX_REPEATS = 3;
const MAX_GAP_MS = 2_500;
const MIN_FOR_MS = 20;
const MAX_FOR_MS = 5_000;
const REPEAT_SHARE = 0.4;
const SAME_HOST_SHARE = 0.6;

/** Returns the faults of a seed in the order of their times. */
export function drawFaults(
  seed: number,
  bounds: PlanBounds,
): readonly PlannedFault[] {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const series = MIN_SERIES + Math.floor(random() * SERIES_SPREAD);
  const faults = Array.from({length: series}, () => drawSeries(random, bounds));
  return faults.flat().sort((a, b) => a.atMs - b.atMs);
}

function drawSeries(
  random: () => number,
  {hosts, startMs, endMs, kinds = FAULT_KINDS}: PlanBounds,
): readonly PlannedFault[] {
  const kind = drawKind(random, kinds);
  const isRepeated = random() < REPEAT_SHARE;
  const count = isRepeated ? 1 + Math.ceil(random() * MAX_REPEATS) : 1;
  const firstHost = Math.floor(random() * hosts);
  const gapMs = random() * MAX_GAP_MS;
  let atMs = startMs + random() * (endMs - startMs);
  return Array.from({length: count}, () => {
    const isSame = random() < SAME_HOST_SHARE;
    const host = isSame ? firstHost : Math.floor(random() * hosts);
    // Short faults are as frequent as long ones: squares of even numbers.
    const forMs = MIN_FOR_MS + random() ** 2 * (MAX_FOR_MS - MIN_FOR_MS);
    const fault = {atMs: Math.min(atMs, endMs), kind, host, forMs};
    atMs += gapMs;
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
