/**
 * Measures how late this process is with its work. Answers the load of a start under full traffic, and
 * of a host that was frozen: what is read then has waited in the socket, its caller may have left, and
 * handling all of it late would make all of it late.
 */
import type {System} from '@dottereldrift/core/system.js';

/** Time between two looks, in milliseconds; each costs a timer. */
const INTERVAL_MS = 50;
/** Lag from which requests are refused: half of the shortest goal that the users name. */
const MAX_LAG_MS = 100;

/** Watches the event loop. */
export class LoopMonitor {
  private lastTickMs: number;
  private lagMs = 0;
  private cancel: () => void = () => {};

  constructor(private readonly system: System) {
    this.lastTickMs = system.getNow().monotonicMs;
  }

  start(): void {
    this.lastTickMs = this.system.getNow().monotonicMs;
    this.cancel = this.system.startTimer(INTERVAL_MS, () => {
      const nowMs = this.system.getNow().monotonicMs;
      this.lagMs = Math.max(0, nowMs - this.lastTickMs - INTERVAL_MS);
      this.start();
    });
  }

  stop(): void {
    this.cancel();
  }

  /** Tells whether requests that are read now have waited too long to be begun. */
  isBehind(): boolean {
    const sinceMs = this.system.getNow().monotonicMs - this.lastTickMs;
    return Math.max(this.lagMs, sinceMs - INTERVAL_MS) > MAX_LAG_MS;
  }
}
