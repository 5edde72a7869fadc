/**
 * Measures the lag of the event loop, so that a daemon can refuse requests after a start under full traffic
 * or after its host was frozen. Requests read then have waited in the socket and their callers may have
 * disconnected; handling them all would delay every later request as well.
 */
import {createHistogram, type RecordableHistogram} from 'node:perf_hooks';

import type {System} from '@dottereldrift/core/system.js';

/** Each sample costs a timer. */
const SAMPLE_INTERVAL_MS = 50;
const TAIL_PERCENTILE = 99;
/** Lags are stored in microseconds, so that those below a millisecond count too. */
const US_PER_MS = 1_000;

/** Samples the lag of the event loop. */
export class LoopMonitor {
  private lastTickMs: number;
  private lastTickWallMs: number;
  private lagMs = 0;
  /** Lag samples since the last call of `takeP99LagMs`, in microseconds. */
  private readonly lagHistogram: RecordableHistogram = createHistogram();
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
    this.cancel = this.system.startTimer(SAMPLE_INTERVAL_MS, () => {
      this.lagMs = this.computeLagMs();
      // The histogram accepts integers from 1.
      this.lagHistogram.record(Math.max(1, Math.round(this.lagMs * US_PER_MS)));
      this.start();
    });
  }

  stop(): void {
    this.cancel();
  }

  /** Returns the larger of the last sampled lag and the lag at this moment. */
  getLagMs(): number {
    return Math.max(this.lagMs, this.computeLagMs());
  }

  /** Returns the 99th percentile of the lag since the last call, in milliseconds. */
  takeP99LagMs(): number {
    const {count} = this.lagHistogram;
    const tailUs =
      count === 0 ? 0 : this.lagHistogram.percentile(TAIL_PERCENTILE);
    this.lagHistogram.reset();
    return tailUs / US_PER_MS;
  }

  /** Uses both clocks: the monotonic clock stops while the host is suspended, the wall clock does not. */
  private computeLagMs(): number {
    const now = this.system.getNow();
    const elapsedMs = Math.max(
      now.monotonicMs - this.lastTickMs,
      now.wallMs - this.lastTickWallMs,
    );
    return Math.max(0, elapsedMs - SAMPLE_INTERVAL_MS);
  }
}
