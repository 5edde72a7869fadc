/**
 * Limits request starts to one per iteration of the event loop. A listener accepts one new connection per
 * iteration, so if many requests start in each iteration, new connections are not accepted before their
 * callers time out, while other listeners of the process still respond at once.
 */
import type {System} from '@dottereldrift/core/system.js';

interface WaitingRequest {
  readonly queuedAtMs: number;
  readonly start: () => void;
}

/** Queues requests in order of arrival and starts at most one per event loop iteration. */
export class RequestStartQueue {
  private readonly waiting: WaitingRequest[] = [];
  private hasStartedRequest = false;

  constructor(private readonly system: System) {}

  /** Waits for an iteration in which no other request has started; returns the milliseconds waited. */
  async waitForTurn(): Promise<number> {
    const queuedAtMs = this.getNowMs();
    if (this.hasStartedRequest)
      await new Promise<void>(start => this.waiting.push({queuedAtMs, start}));
    else this.startTurn();
    return this.getNowMs() - queuedAtMs;
  }

  /** Returns how long the oldest queued request has waited, in milliseconds; 0 if none is queued. */
  getOldestWaitMs(): number {
    const [oldest] = this.waiting;
    return oldest === undefined ? 0 : this.getNowMs() - oldest.queuedAtMs;
  }

  private startTurn(): void {
    this.hasStartedRequest = true;
    setImmediate(() => {
      const next = this.waiting.shift();
      this.hasStartedRequest = next !== undefined;
      if (next === undefined) return;
      this.startTurn();
      next.start();
    });
  }

  private getNowMs(): number {
    return this.system.getNow().monotonicMs;
  }
}
