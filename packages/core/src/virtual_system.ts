/**
 * A system whose clocks stand still until a test or a model moves them: the same random numbers give
 * the same run.
 */
import type {Cancel, System} from './system.js';
import type {Instant} from './types.js';

interface Timer {
  readonly atMs: number;
  /** Order of creation, which decides between timers of one instant. */
  readonly number: number;
  callback: (() => void) | undefined;
}

const FIRST_WALL_MS = 1_700_000_000_000;

/** Virtual clocks, timers and random numbers. */
export class VirtualSystem implements System {
  /** A binary heap; the earliest timer is the first. */
  private readonly timers: Timer[] = [];
  private nowMs = 0;
  private timersMade = 0;
  private idsMade = 0;

  /** `random` returns numbers from 0 up to, not including, 1. */
  constructor(private readonly random: () => number) {}

  getNow(): Instant {
    return {monotonicMs: this.nowMs, wallMs: FIRST_WALL_MS + this.nowMs};
  }

  startTimer(delayMs: number, callback: () => void): Cancel {
    this.timersMade += 1;
    const timer: Timer = {
      atMs: this.nowMs + Math.max(0, delayMs),
      number: this.timersMade,
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
    this.idsMade += 1;
    return `id-${this.idsMade}`;
  }

  /** Moves the clocks to an instant and calls every timer that is due on the way. */
  runUntil(endMs: number): void {
    for (;;) {
      const first = this.timers[0];
      if (first === undefined || first.atMs > endMs) break;
      this.takeFirst();
      this.nowMs = first.atMs;
      first.callback?.();
    }
    this.nowMs = Math.max(this.nowMs, endMs);
  }

  private takeFirst(): void {
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
      this.shiftPair(index, parent);
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
      this.shiftPair(index, least);
      index = least;
    }
  }

  private isBefore(index: number, other: number): boolean {
    const a = this.timers[index];
    const b = this.timers[other];
    if (a === undefined || b === undefined) return false;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.number < b.number);
  }

  private shiftPair(index: number, other: number): void {
    const a = this.timers[index];
    const b = this.timers[other];
    if (a === undefined || b === undefined) return;
    this.timers[index] = b;
    this.timers[other] = a;
  }
}
