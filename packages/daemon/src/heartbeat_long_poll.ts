/**
 * Delays the response to a server's heartbeat (long polling), so that a planned move reaches the
 * server as soon as it is decided rather than with its next heartbeat. Each move needs responses to
 * two servers in sequence, so without the delay it would be too slow for load that shifts within
 * seconds.
 */
import type {System} from '@dottereldrift/core/system.js';

/** Changes that the response to a heartbeat would contain. */
export interface PendingGrantChanges {
  /** Tells whether the response would change what the server holds. */
  hasChanges(): boolean;
  /** Tells whether more keys are being moved to the server. */
  isExpectingMore(): boolean;
}

/**
 * Time for which a change waits for further ones, in milliseconds. Keys that are released together
 * arrive within one update of the assignment; those that miss the response wait for the next
 * heartbeat.
 */
const BATCH_DELAY_MS = 100;

/** Delays heartbeat responses until there is something to report. */
export class HeartbeatLongPoll {
  private wakers: ReadonlyArray<() => void> = [];

  constructor(private readonly system: System) {}

  /** Makes all waiting responses check for changes again. */
  wake(): void {
    const {wakers} = this;
    this.wakers = [];
    for (const waker of wakers) waker();
  }

  /** Waits for changes for at most `limitMs`; resolves to the time waited, in milliseconds. */
  async waitForChanges(
    changes: PendingGrantChanges,
    limitMs: number,
  ): Promise<number> {
    const startMs = this.system.getNow().monotonicMs;
    let endMs = startMs + limitMs;
    let isBatching = false;
    for (;;) {
      const nowMs = this.system.getNow().monotonicMs;
      if (!isBatching && changes.hasChanges()) {
        isBatching = true;
        endMs = Math.min(endMs, nowMs + BATCH_DELAY_MS);
      }
      const isDone = isBatching && !changes.isExpectingMore();
      if (isDone || nowMs >= endMs) return nowMs - startMs;
      await this.waitForWake(endMs - nowMs);
    }
  }

  private waitForWake(limitMs: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.system.startTimer(limitMs, () => {
        this.wakers = this.wakers.filter(other => other !== waker);
        resolve();
      });
      const waker = () => {
        cancel();
        resolve();
      };
      this.wakers = [...this.wakers, waker];
    });
  }
}
