/**
 * Measures how late this process is with its work. Answers the load of a start under full traffic, and
 * of a host that was frozen: what is read then has waited in the socket, its caller may have left, and
 * handling all of it late would make all of it late. Also answers more requests than the processor
 * carries: a lag that lasts delays each step of every request, so that work which holds slots misses its
 * goal or its deadline.
 */
import type {System} from '@dottereldrift/core/system.js';

/** Time between two looks, in milliseconds; each costs a timer. */
const INTERVAL_MS = 50;
/** Lag from which requests are refused: half of the shortest goal that the users name. */
const MAX_LAG_MS = 100;

/** Watches the event loop. */
export class LoopMonitor {
  private lastTickMs: number;
  private lastTickWallMs: number;
  private lagMs = 0;
  /** Lag of the tick before the last one. */
  private earlierLagMs = 0;
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
      this.earlierLagMs = this.lagMs;
      this.lagMs = this.computeLagMs();
      this.start();
    });
  }

  stop(): void {
    this.cancel();
  }

  /**
   * Tells whether requests that are read now should not be begun: they have waited too long, or the lag has
   * lasted for two ticks and exceeds what the request can bear. A single pause is no reason.
   */
  isBehind(bearableLagMs = MAX_LAG_MS): boolean {
    const lastingMs = Math.min(this.lagMs, this.earlierLagMs);
    return this.getLagMs() > MAX_LAG_MS || lastingMs > bearableLagMs;
  }

  /** Returns how late this process is with its work, in milliseconds. */
  getLagMs(): number {
    return Math.max(this.lagMs, this.computeLagMs());
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
