/**
 * Clocks, timers and random numbers behind one interface, so that tests can replace them by virtual ones.
 */
import {randomBytes} from 'node:crypto';
import {hrtime} from 'node:process';

import type {Instant} from './types.js';

/** Cancels a timer. Idempotent. */
export type Cancel = () => void;

/** Clocks, timers, random numbers and identifiers. */
export interface System {
  /** Returns the current time by both clocks. */
  getNow(): Instant;
  /** Calls the callback once after the delay in milliseconds. */
  startTimer(delayMs: number, callback: () => void): Cancel;
  /** Returns a uniformly distributed number in the range [0, 1). */
  getRandom(): number;
  /** Returns a globally unique identifier. */
  createId(): string;
}

const ID_LENGTH_BYTES = 9;
const NS_PER_MS = 1e6;

class NodeSystem implements System {
  /** Monotonic time of the host at which `performance.now()` of this process was 0. */
  private readonly originMs =
    Number(hrtime.bigint()) / NS_PER_MS - performance.now();

  getNow(): Instant {
    const monotonicMs = this.originMs + performance.now();
    return {monotonicMs, wallMs: Date.now()};
  }

  startTimer(delayMs: number, callback: () => void): Cancel {
    const timer = setTimeout(callback, delayMs);
    return () => {
      clearTimeout(timer);
    };
  }

  getRandom(): number {
    return Math.random();
  }

  createId(): string {
    return randomBytes(ID_LENGTH_BYTES).toString('base64url');
  }
}

/** Creates a system that uses the clocks and timers of Node.js. */
export function createNodeSystem(): System {
  return new NodeSystem();
}

/** Resolves after the delay in milliseconds. */
export function waitFor(system: System, delayMs: number): Promise<void> {
  return new Promise(resolve => {
    system.startTimer(delayMs, resolve);
  });
}
