/**
 * Begins at most one request in each turn of the event loop. A listener takes one new connection in a
 * turn, whatever number waits, so where many requests begin in a turn, new connections wait until their
 * callers give up, while other listeners of the process answer at once.
 */
import type {System} from '@dottereldrift/core/system.js';

interface WaitingRequest {
  readonly sinceMs: number;
  readonly begin: () => void;
}

/** Requests that wait for a turn, in the order in which they came. */
export class TurnQueue {
  private readonly waiting: WaitingRequest[] = [];
  private isTurnTaken = false;

  constructor(private readonly system: System) {}

  /** Waits for a turn in which no other request has begun; returns the time that it took, in milliseconds. */
  async waitForTurn(): Promise<number> {
    const sinceMs = this.getNowMs();
    if (this.isTurnTaken)
      await new Promise<void>(begin => this.waiting.push({sinceMs, begin}));
    else this.takeTurn();
    return this.getNowMs() - sinceMs;
  }

  /** Returns for how long the first of those that wait has waited, in milliseconds. */
  getWaitMs(): number {
    const [first] = this.waiting;
    return first === undefined ? 0 : this.getNowMs() - first.sinceMs;
  }

  private takeTurn(): void {
    this.isTurnTaken = true;
    setImmediate(() => {
      const next = this.waiting.shift();
      this.isTurnTaken = next !== undefined;
      if (next === undefined) return;
      this.takeTurn();
      next.begin();
    });
  }

  private getNowMs(): number {
    return this.system.getNow().monotonicMs;
  }
}
