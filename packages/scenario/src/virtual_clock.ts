/**
 * Virtual time: timers run in the order of their due times, one at a time, and between two of them
 * everything that waits on promises is carried on. Nothing depends on how fast the test runs.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {Cancel, System} from '@dottereldrift/core/system.js';
import type {Instant} from '@dottereldrift/core/types.js';

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

const START_MONOTONIC_MS = 1_000_000;
const START_WALL_MS = Date.UTC(2030, 0, 1);

/** The clock, the timers and the random numbers of a whole virtual deployment. */
export class VirtualClock implements System {
  private readonly timers: Timer[] = [];
  private readonly random: () => number;
  private elapsedMs = 0;
  private started = 0;
  private ids = 0;

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

  /** Milliseconds since the start. */
  getElapsedMs(): number {
    return this.elapsedMs;
  }

  startTimer(delayMs: number, callback: () => void): Cancel {
    this.started += 1;
    const atMs = this.elapsedMs + Math.max(0, delayMs);
    const timer = {atMs, order: this.started, callback, isCancelled: false};
    this.timers.splice(this.findPlace(timer), 0, timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  getRandom(): number {
    return this.random();
  }

  createId(): string {
    this.ids += 1;
    return `id${this.ids}`;
  }

  /** Lets time pass until a time since the start. */
  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      await runPromises();
      const next = this.timers[this.timers.length - 1];
      if (next === undefined || next.atMs > endMs) break;
      this.timers.pop();
      if (next.isCancelled) continue;
      this.elapsedMs = next.atMs;
      next.callback();
    }
    this.elapsedMs = endMs;
  }

  /** Timers are kept with the next one last. */
  private findPlace(timer: Timer): number {
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

/** One process: it can be frozen, continued and killed. */
export class VirtualProcess implements System {
  private readonly inbox: Array<() => void> = [];
  private readonly endListeners = new Set<() => void>();
  private isFrozen = false;
  private isDead = false;

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

  /** Runs a callback in this process: at once, after it continues, or never. */
  deliver(callback: () => void): void {
    if (this.isDead) return;
    if (this.isFrozen) this.inbox.push(callback);
    else callback();
  }

  isRunning(): boolean {
    return !this.isDead;
  }

  freeze(): void {
    this.isFrozen = true;
  }

  /** Goes on, first with everything that has arrived. */
  continue(): void {
    this.isFrozen = false;
    for (const callback of this.inbox.splice(0))
      this.clock.startTimer(0, () => {
        this.deliver(callback);
      });
  }

  /** Ends the process at once, and tells those that are connected to it. */
  kill(): void {
    this.isDead = true;
    for (const listener of this.endListeners) listener();
    this.endListeners.clear();
  }

  /** Calls back when the process ends; the returned function ends that. */
  watchEnd(listener: () => void): Cancel {
    this.endListeners.add(listener);
    return () => this.endListeners.delete(listener);
  }
}

/** Carries on everything that waits on promises only. */
function runPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
