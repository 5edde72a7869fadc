/**
 * A process whose clocks misbehave: the time of day steps, and a suspended host's steady clock stands still.
 */
import type {Instant} from '@dottereldrift/core/types.js';

import {VirtualProcess} from '../virtual_clock.js';

/** What the clocks of one host are off by; shared by the processes that run there one after the other. */
export interface ClockOffsets {
  wallMs: number;
  suspendedMs: number;
}

/** A process on a host with clocks of its own. */
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
