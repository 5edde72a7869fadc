/**
 * A simulated process with faulty clocks: the wall clock can be stepped, and the monotonic clock of a suspended host
 * does not advance.
 */
import type {Instant} from '@dottereldrift/core/types.js';

import {VirtualProcess} from '../virtual_clock.js';

/** Clock errors of one host, shared by the processes that run on it one after another. */
export interface ClockOffsets {
  wallMs: number;
  suspendedMs: number;
}

/** A process whose clocks deviate from the simulation's clock by the offsets of its host. */
export class SoakProcess extends VirtualProcess {
  constructor(
    name: string,
    clock: ConstructorParameters<typeof VirtualProcess>[1],
    private readonly offsets: Readonly<ClockOffsets>,
  ) {
    super(name, clock);
  }

  override getNow(): Instant {
    const {monotonicMs, wallMs} = super.getNow();
    return {
      monotonicMs: monotonicMs - this.offsets.suspendedMs,
      wallMs: wallMs + this.offsets.wallMs,
    };
  }
}
