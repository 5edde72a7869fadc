/**
 * The paths of a virtual deployment: messages arrive after a short, varying time, later, or never.
 */
import type {VirtualClock, VirtualProcess} from './virtual_clock.js';

/** Name under which the store is a place of the network. */
export const STORE_PLACE = 'store';

const MIN_LATENCY_MS = 0.2;
const LATENCY_SPREAD_MS = 0.8;

/** Why a call over the network failed. */
export type CallFailure = 'refused' | 'broken' | 'timeout';

/** A call that failed. */
export class CallError extends Error {
  override readonly name = 'CallError';

  constructor(readonly failure: CallFailure) {
    super(failure);
  }
}

/** One end of a path. */
export interface Place {
  readonly name: string;
  readonly process: VirtualProcess;
}

/** Carries messages between places. */
export class VirtualNetwork {
  private readonly lost = new Set<string>();
  private readonly delaysMs = new Map<string, number>();

  constructor(private readonly clock: VirtualClock) {}

  /** Loses messages from one place to another. */
  cutPath(from: string, to: string): void {
    this.lost.add(formatPath(from, to));
  }

  /** Delays every message from and to a place. */
  setDelayMs(place: string, delayMs: number): void {
    this.delaysMs.set(place, delayMs);
  }

  /** Lets everything pass again. */
  reset(): void {
    this.lost.clear();
    this.delaysMs.clear();
  }

  /** Sends a message that runs a callback where it arrives. */
  send(from: string, to: Place, callback: () => void): void {
    if (this.lost.has(formatPath(from, to.name))) return;
    const latencyMs =
      MIN_LATENCY_MS + LATENCY_SPREAD_MS * this.clock.getRandom();
    const delayMs =
      (this.delaysMs.get(from) ?? 0) + (this.delaysMs.get(to.name) ?? 0);
    this.clock.startTimer(latencyMs + delayMs, () => {
      to.process.deliver(callback);
    });
  }

  /** Calls a function at another place; rejects with a CallError when no answer arrives in time. */
  call<T>(
    from: Place,
    to: Place,
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
      const stopWatching = to.process.watchEnd(() => {
        from.process.deliver(() => {
          fail('broken');
        });
      });
      if (!to.process.isRunning()) {
        this.refuse(from, to.name, () => {
          fail('refused');
        });
        return;
      }
      this.send(from.name, to, () => {
        run().then(
          value => {
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

  private refuse(from: Place, to: string, callback: () => void): void {
    const isLost =
      this.lost.has(formatPath(from.name, to)) ||
      this.lost.has(formatPath(to, from.name));
    if (!isLost) from.process.startTimer(MIN_LATENCY_MS, callback);
  }
}

function formatPath(from: string, to: string): string {
  return `${from}>${to}`;
}
