/**
 * Lets duplicates of a running request wait until it ends, so that they get its response.
 */
import type {System} from '@dottereldrift/core/system.js';

import type {Exchange} from './exchange.js';

/** Duplicates that wait for the running requests of one service, by the identity of the request. */
export class DuplicateWaiters {
  private readonly waiters = new Map<string, ReadonlySet<() => void>>();

  constructor(private readonly system: System) {}

  /** Waits until a request ends, the duplicate's deadline passes or its caller disconnects. */
  waitForEnd(identity: string, duplicate: Exchange): Promise<void> {
    return new Promise(resolve => {
      const nowMs = this.system.getNow().monotonicMs;
      const remainingMs = Math.max(0, duplicate.deadlineAtMs - nowMs);
      const wake = () => {
        cancel();
        duplicate.abandonment.removeListener(wake);
        this.removeWaiter(identity, wake);
        resolve();
      };
      const cancel = this.system.startTimer(remainingMs, wake);
      duplicate.abandonment.addListener(wake);
      this.waiters.set(identity, new Set([...this.getWaiters(identity), wake]));
    });
  }

  /** Wakes the duplicates that wait for a request. */
  notifyEnd(identity: string): void {
    for (const wake of this.getWaiters(identity)) wake();
  }

  private getWaiters(identity: string): ReadonlySet<() => void> {
    return this.waiters.get(identity) ?? new Set();
  }

  private removeWaiter(identity: string, wake: () => void): void {
    const remaining = [...this.getWaiters(identity)].filter(
      other => other !== wake,
    );
    if (remaining.length === 0) this.waiters.delete(identity);
    else this.waiters.set(identity, new Set(remaining));
  }
}
