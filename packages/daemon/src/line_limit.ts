/**
 * Bounds the lines that one part of the program logs in a second, so that a burst of failures does not
 * spend the processor on its own record.
 */
import type {System} from '@dottereldrift/core/system.js';

const MAX_LINES_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;

/** Counts lines, and those that were left out. */
export class LineLimit {
  private secondStartMs = -Infinity;
  private lines = 0;
  private leftOut = 0;

  constructor(private readonly system: System) {}

  /** Takes a line of the present second; false when there is none left. */
  tryTakeLine(): boolean {
    const nowMs = this.system.getNow().monotonicMs;
    if (nowMs - this.secondStartMs >= MS_PER_SECOND) {
      this.secondStartMs = nowMs;
      this.lines = 0;
    }
    if (this.lines >= MAX_LINES_PER_SECOND) {
      this.leftOut += 1;
      return false;
    }
    this.lines += 1;
    return true;
  }

  /** Returns how many lines were left out since the last call. */
  takeLeftOut(): number {
    const {leftOut} = this;
    this.leftOut = 0;
    return leftOut;
  }
}
