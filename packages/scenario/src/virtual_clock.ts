/**
 * Virtual time: timers run one at a time in the order of their due times, and all pending promise callbacks run
 * between two timers. Results do not depend on the speed of the computer.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {Cancel, System} from '@dottereldrift/core/system.js';
import type {Instant} from '@dottereldrift/core/types.js';

interface Timer {
  readonly atMs: number;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

const START_MONOTONIC_MS = 1_000_000;
const START_WALL_MS = Date.UTC(2030, 0, 1);

/** Clock, timers, random numbers and identifiers of a virtual deployment. */
export class VirtualClock implements System {
  private readonly timers: Timer[] = [];
  private readonly random: () => number;
  private elapsedMs = 0;
  private timerCount = 0;
  private idCount = 0;

  constructor(seed: number) {
    const generator = xoroshiro128plus(seed);
    this.random = () => uniformFloat64(generator);
  }

  getNow(): Instant {
    return {
      monotonicMs: START_MONOTONIC_MS + this.elapsedMs,
      wallMs: START_WALL_MS + this.elapsedMs,
    };
  }

  /** Returns the milliseconds since the start of the simulation. */
  getElapsedMs(): number {
    return this.elapsedMs;
  }

  startTimer(delayMs: number, callback: () => void): Cancel {
    this.timerCount += 1;
    const atMs = this.elapsedMs + Math.max(0, delayMs);
    const timer = {
      atMs,
      sequence: this.timerCount,
      callback,
      isCancelled: false,
    };
    this.timers.splice(this.findInsertionIndex(timer), 0, timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  getRandom(): number {
    return this.random();
  }

  createId(): string {
    this.idCount += 1;
    return `id${this.idCount}`;
  }

  /** Advances the clock to the given time since the start and runs all timers that are due by then. */
  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      await runPendingPromises();
      const next = this.timers[this.timers.length - 1];
      if (next === undefined || next.atMs > endMs) break;
      this.timers.pop();
      if (next.isCancelled) continue;
      this.elapsedMs = next.atMs;
      next.callback();
    }
    this.elapsedMs = endMs;
  }

  /** Returns the insertion index of a timer. Timers are sorted in descending order, so the next one is last. */
  private findInsertionIndex(timer: Timer): number {
    let low = 0;
    let high = this.timers.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.timers[middle];
      if (other !== undefined && other.atMs > timer.atMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/** A simulated process that can be frozen, continued and killed. */
export class VirtualProcess implements System {
  private readonly pendingCallbacks: Array<() => void> = [];
  private readonly endListeners = new Set<() => void>();
  private isFrozen = false;
  private hasEnded = false;

  constructor(
    readonly name: string,
    private readonly clock: VirtualClock,
  ) {}

  getNow(): Instant {
    return this.clock.getNow();
  }

  startTimer(delayMs: number, callback: () => void): Cancel {
    let isCancelled = false;
    const cancel = this.clock.startTimer(delayMs, () => {
      this.deliver(() => {
        if (!isCancelled) callback();
      });
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  getRandom(): number {
    return this.clock.getRandom();
  }

  createId(): string {
    return this.clock.createId();
  }

  /** Runs a callback at once, after the process continues if it is frozen, or never if it has ended. */
  deliver(callback: () => void): void {
    if (this.hasEnded) return;
    if (this.isFrozen) this.pendingCallbacks.push(callback);
    else callback();
  }

  isRunning(): boolean {
    return !this.hasEnded;
  }

  freeze(): void {
    this.isFrozen = true;
  }

  /** Resumes the process and schedules the callbacks that arrived while it was frozen. */
  continue(): void {
    this.isFrozen = false;
    for (const callback of this.pendingCallbacks.splice(0))
      this.clock.startTimer(0, () => {
        this.deliver(callback);
      });
  }

  /** Ends the process at once and notifies the processes that are connected to it. */
  kill(): void {
    this.hasEnded = true;
    for (const listener of this.endListeners) listener();
    this.endListeners.clear();
  }

  /** Registers a listener for the end of the process; the returned function removes it. */
  watchEnd(listener: () => void): Cancel {
    this.endListeners.add(listener);
    return () => this.endListeners.delete(listener);
  }
}

/** Runs all pending promise callbacks. */
function runPendingPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
