/**
 * Repeats that wait for the end of the request that they repeat, so that they get its answer.
 */
import type {System} from '@dottereldrift/core/system.js';

import type {Exchange} from './exchange.js';

/** Requests of one service that run, by their names in the window, and who waits for their ends. */
export class RunningRequests {
  private readonly waiting = new Map<string, ReadonlySet<() => void>>();

  constructor(private readonly system: System) {}

  /** Waits for the end of a request, at most until the deadline of the repeat. */
  waitForEnd(name: string, repeat: Exchange): Promise<void> {
    return new Promise(resolve => {
      const nowMs = this.system.getNow().monotonicMs;
      const remainingMs = Math.max(0, repeat.deadlineAtMs - nowMs);
      const wake = () => {
        cancel();
        repeat.abandonment.removeListener(wake);
        this.removeWaiter(name, wake);
        resolve();
      };
      const cancel = this.system.startTimer(remainingMs, wake);
      repeat.abandonment.addListener(wake);
      this.waiting.set(name, new Set([...this.getWaiters(name), wake]));
    });
  }

  /** Wakes those that wait for a request. */
  recordEnd(name: string): void {
    for (const wake of this.getWaiters(name)) wake();
  }

  private getWaiters(name: string): ReadonlySet<() => void> {
    return this.waiting.get(name) ?? new Set();
  }

  private removeWaiter(name: string, wake: () => void): void {
    const left = [...this.getWaiters(name)].filter(other => other !== wake);
    if (left.length === 0) this.waiting.delete(name);
    else this.waiting.set(name, new Set(left));
  }
}
