/**
 * Measures how late this process is with its work. Answers the load of a start under full traffic, and
 * of a host that was frozen: what is read then has waited in the socket, its caller may have left, and
 * handling all of it late would make all of it late.
 */
import {createHistogram, type RecordableHistogram} from 'node:perf_hooks';

import type {System} from '@dottereldrift/core/system.js';

/** Time between two looks, in milliseconds; each costs a timer. */
const INTERVAL_MS = 50;
/** Lag from which requests are refused: half of the shortest goal that the users name. */
const MAX_LAG_MS = 100;
const TAIL_PERCENTILE = 99;
/** Unit in which lags are kept, so that those below a millisecond count too. */
const US_PER_MS = 1_000;

/** Watches the event loop. */
export class LoopMonitor {
  private lastTickMs: number;
  private lastTickWallMs: number;
  private lagMs = 0;
  /** Lags of the looks since they were last taken, in microseconds. */
  private readonly lags: RecordableHistogram = createHistogram();
  private cancel: () => void = () => {};

  constructor(private readonly system: System) {
    const now = system.getNow();
    this.lastTickMs = now.monotonicMs;
    this.lastTickWallMs = now.wallMs;
  }

  start(): void {
    const now = this.system.getNow();
    this.lastTickMs = now.monotonicMs;
    this.lastTickWallMs = now.wallMs;
    this.cancel = this.system.startTimer(INTERVAL_MS, () => {
      this.lagMs = this.computeLagMs();
      // The histogram takes whole numbers from 1 on.
      this.lags.record(Math.max(1, Math.round(this.lagMs * US_PER_MS)));
      this.start();
    });
  }

  stop(): void {
    this.cancel();
  }

  /**
   * Tells whether requests that are read now, or have waited here for some milliseconds, have waited too long
   * to be begun.
   */
  isBehind(waitedMs = 0): boolean {
    return Math.max(waitedMs, this.getLagMs()) > MAX_LAG_MS;
  }

  /** Returns how late this process is with its work, in milliseconds. */
  getLagMs(): number {
    return Math.max(this.lagMs, this.computeLagMs());
  }

  /** Returns the lag that one look in a hundred exceeded since the last call, in milliseconds. */
  takeTailLagMs(): number {
    const {count} = this.lags;
    const tailUs = count === 0 ? 0 : this.lags.percentile(TAIL_PERCENTILE);
    this.lags.reset();
    return tailUs / US_PER_MS;
  }

  /** The monotonic clock stands still while the host is suspended, the clock of the day does not. */
  private computeLagMs(): number {
    const now = this.system.getNow();
    const sinceMs = Math.max(
      now.monotonicMs - this.lastTickMs,
      now.wallMs - this.lastTickWallMs,
    );
    return Math.max(0, sinceMs - INTERVAL_MS);
  }
}
