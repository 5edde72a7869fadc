/**
 * Simulated network of a virtual deployment: messages arrive after a short random latency, are delayed or are lost.
 */
import type {VirtualClock, VirtualProcess} from './virtual_clock.js';

/** Endpoint name of the store. */
export const STORE_ENDPOINT = 'store';

const MIN_LATENCY_MS = 0.2;
const LATENCY_SPREAD_MS = 0.8;

/** Reason for which a call over the network failed. */
export type CallFailure = 'refused' | 'broken' | 'timeout';

/** Reports a failed call over the network. */
export class CallError extends Error {
  override readonly name = 'CallError';

  constructor(readonly failure: CallFailure) {
    super(failure);
  }
}

/** A named process that sends and receives messages. */
export interface Endpoint {
  readonly name: string;
  readonly process: VirtualProcess;
}

/** Delivers messages between endpoints. */
export class VirtualNetwork {
  private readonly cutPaths = new Set<string>();
  private readonly delaysMs = new Map<string, number>();

  constructor(private readonly clock: VirtualClock) {}

  /** Drops all messages from one endpoint to another. */
  cutPath(from: string, to: string): void {
    this.cutPaths.add(formatPath(from, to));
  }

  /** Delays all messages from and to an endpoint. */
  setDelayMs(endpoint: string, delayMs: number): void {
    this.delaysMs.set(endpoint, delayMs);
  }

  /** Restores all paths and removes all delays. */
  reset(): void {
    this.cutPaths.clear();
    this.delaysMs.clear();
  }

  /** Sends a message that runs a callback in the receiving process. */
  send(from: string, to: Endpoint, callback: () => void): void {
    if (this.cutPaths.has(formatPath(from, to.name))) return;
    const latencyMs =
      MIN_LATENCY_MS + LATENCY_SPREAD_MS * this.clock.getRandom();
    const delayMs =
      (this.delaysMs.get(from) ?? 0) + (this.delaysMs.get(to.name) ?? 0);
    this.clock.startTimer(latencyMs + delayMs, () => {
      to.process.deliver(callback);
    });
  }

  /** Calls a function at another endpoint; rejects with a CallError if the call fails or times out. */
  call<T>(
    from: Endpoint,
    to: Endpoint,
    timeoutMs: number,
    run: () => Promise<T>,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      const finish = (end: () => void) => {
        stopWatching();
        cancel();
        end();
      };
      const fail = (failure: CallFailure) => {
        finish(() => {
          reject(new CallError(failure));
        });
      };
      const cancel = from.process.startTimer(timeoutMs, () => {
        fail('timeout');
      });
      let hasRequestArrived = false;
      const stopWatching = to.process.watchEnd(() => {
        from.process.deliver(() => {
          fail(hasRequestArrived ? 'broken' : 'refused');
        });
      });
      if (!to.process.isRunning()) {
        this.refuse(from, to.name, () => {
          fail('refused');
        });
        return;
      }
      this.send(from.name, to, () => {
        hasRequestArrived = true;
        run().then(
          value => {
            stopWatching();
            this.send(to.name, from, () => {
              finish(() => {
                resolve(value);
              });
            });
          },
          () => {
            this.send(to.name, from, () => {
              fail('broken');
            });
          },
        );
      });
    });
  }

  private refuse(from: Endpoint, to: string, callback: () => void): void {
    const isLost =
      this.cutPaths.has(formatPath(from.name, to)) ||
      this.cutPaths.has(formatPath(to, from.name));
    if (!isLost) from.process.startTimer(MIN_LATENCY_MS, callback);
  }
}

function formatPath(from: string, to: string): string {
  return `${from}>${to}`;
}
