/**
 * Limits the log lines that one component writes per second, so that a burst of failures does not use up
 * the processor with logging.
 */
import type {System} from '@dottereldrift/core/system.js';

const MAX_LINES_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;

/** Counts written and suppressed lines. */
export class LogRateLimiter {
  private secondStartMs = -Infinity;
  private lineCount = 0;
  private droppedCount = 0;

  constructor(private readonly system: System) {}

  /** Uses up one line of the current second's limit; returns false when the limit is reached. */
  tryTakeLine(): boolean {
    const nowMs = this.system.getNow().monotonicMs;
    if (nowMs - this.secondStartMs >= MS_PER_SECOND) {
      this.secondStartMs = nowMs;
      this.lineCount = 0;
    }
    if (this.lineCount >= MAX_LINES_PER_SECOND) {
      this.droppedCount += 1;
      return false;
    }
    this.lineCount += 1;
    return true;
  }

  /** Returns the number of lines suppressed since the last call. */
  takeDroppedCount(): number {
    const {droppedCount} = this;
    this.droppedCount = 0;
    return droppedCount;
  }
}
