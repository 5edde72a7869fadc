/**
 * Keeps a share of the slots free of long work. A kind is long when its typical service time is a
 * multiple of the shortest kind's; a running request is long when its kind is, or when it has already
 * run for that multiple of its own kind's typical time.
 */
import type {KindState, RunningRequest} from './kind_state.js';

/** Multiple of the shortest typical service time from which work is long. */
export const LONG_MULTIPLE = 8;

/** Multiple of the usual service time of its kind from which a running request is overdue. */
const OVERDUE_MULTIPLE = 4;

/** Tells whether a kind is long. */
export function isLongKind(kind: KindState, shortestMs: number): boolean {
  return kind.estimate.getTypicalMs() >= shortestMs * LONG_MULTIPLE;
}

/** Tells whether a running request has outlived what is usual for its kind. */
export function isOverdue(running: RunningRequest, nowMs: number): boolean {
  const usualMs = running.kind.estimate.getUsualMs() * OVERDUE_MULTIPLE;
  return nowMs - running.startedAtMs >= usualMs;
}

/** Returns the number of slots that long work may hold. */
export function getLongSlots(slots: number, reservedShare: number): number {
  if (reservedShare <= 0 || slots <= 1) return slots;
  const reserved = Math.max(1, Math.floor(slots * reservedShare));
  return Math.max(1, slots - reserved);
}
