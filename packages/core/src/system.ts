/**
 * The clocks, timers and random numbers of the process, behind one interface, so that tests
 * replace them by virtual ones.
 */
import {randomBytes} from 'node:crypto';
import {hrtime} from 'node:process';

import type {Instant} from './types.js';

/** Cancels a timer; calling it again does nothing. */
export type Cancel = () => void;

/** The parts of the outside world that every package needs. */
export interface System {
  /** Returns the present instant by both clocks. */
  getNow(): Instant;
  /** Calls back once after the delay in milliseconds. */
  startTimer(delayMs: number, callback: () => void): Cancel;
  /** Returns a uniformly distributed number from 0 up to, not including, 1. */
  getRandom(): number;
  /** Returns a new identifier that no other call on any host returns. */
  createId(): string;
}

const ID_LENGTH_BYTES = 9;
const NS_PER_MS = 1e6;

class NodeSystem implements System {
  /** Monotonic time of the host at which this process's own clock began. */
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

/** Creates the system of this process. */
export function createNodeSystem(): System {
  return new NodeSystem();
}

/** Waits for the delay in milliseconds. */
export function waitFor(system: System, delayMs: number): Promise<void> {
  return new Promise(resolve => {
    system.startTimer(delayMs, resolve);
  });
}
