/**
 * A deterministic system for tests and simulations. Its clocks advance only on demand, and the same random
 * numbers give the same run.
 */
import type {Cancel, System} from './system.js';
import type {Instant} from './types.js';

interface Timer {
  readonly atMs: number;
  /** Creation order; the tie-breaker between timers due at the same instant. */
  readonly sequence: number;
  callback: (() => void) | undefined;
}

const START_WALL_MS = 1_700_000_000_000;

/** System with virtual clocks, timers and random numbers. */
export class VirtualSystem implements System {
  /** Binary min-heap, ordered by due time. */
  private readonly timers: Timer[] = [];
  private nowMs = 0;
  private timersCreated = 0;
  private idsCreated = 0;

  /** `random` returns numbers in the range [0, 1). */
  constructor(private readonly random: () => number) {}

  getNow(): Instant {
    return {monotonicMs: this.nowMs, wallMs: START_WALL_MS + this.nowMs};
  }

  startTimer(delayMs: number, callback: () => void): Cancel {
    this.timersCreated += 1;
    const timer: Timer = {
      atMs: this.nowMs + Math.max(0, delayMs),
      sequence: this.timersCreated,
      callback,
    };
    this.timers.push(timer);
    this.shiftUp(this.timers.length - 1);
    return () => {
      timer.callback = undefined;
    };
  }

  getRandom(): number {
    return this.random();
  }

  createId(): string {
    this.idsCreated += 1;
    return `id-${this.idsCreated}`;
  }

  /** Advances the clocks to an instant and fires every timer that becomes due. */
  runUntil(endMs: number): void {
    for (;;) {
      const first = this.timers[0];
      if (first === undefined || first.atMs > endMs) break;
      this.removeFirst();
      this.nowMs = first.atMs;
      first.callback?.();
    }
    this.nowMs = Math.max(this.nowMs, endMs);
  }

  private removeFirst(): void {
    const last = this.timers.pop();
    if (last === undefined || this.timers.length === 0) return;
    this.timers[0] = last;
    this.shiftDown();
  }

  private shiftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swapTimers(index, parent);
      index = parent;
    }
  }

  private shiftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (this.isBefore(left, least)) least = left;
      if (this.isBefore(right, least)) least = right;
      if (least === index) return;
      this.swapTimers(index, least);
      index = least;
    }
  }

  private isBefore(index: number, other: number): boolean {
    const a = this.timers[index];
    const b = this.timers[other];
    if (a === undefined || b === undefined) return false;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
  }

  private swapTimers(index: number, other: number): void {
    const a = this.timers[index];
    const b = this.timers[other];
    if (a === undefined || b === undefined) return;
    this.timers[index] = b;
    this.timers[other] = a;
  }
}
