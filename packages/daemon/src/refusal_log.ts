/**
 * Writes one line for each request that finds no slot at the server of this host, with the load that
 * decided it, so that a full server is told from one whose slots stand idle.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';
import type {SlotRefusal} from '@dottereldrift/limits/types.js';

import type {Exchange} from './exchange.js';
import {LineLimit} from './line_limit.js';

/** Writes lines of refused requests. */
export class RefusalLog {
  private readonly limit: LineLimit;

  constructor(
    private readonly system: System,
    private readonly log: Log,
  ) {
    this.limit = new LineLimit(system);
  }

  /** Takes note of a refusal. */
  observe({routed, target, kind, receivedAt}: Exchange, refusal: SlotRefusal) {
    if (routed === undefined || !this.limit.tryTakeLine()) return;
    const {load} = refusal;
    const waitedMs = this.system.getNow().monotonicMs - receivedAt.monotonicMs;
    this.log.writeInfo('A request got no slot.', {
      requestId: routed.requestId,
      service: target.service,
      kind: kind.name,
      isNested: load.isNested ?? false,
      code: refusal.code,
      retryAfterMs: Math.round(refusal.retryAfterMs),
      waitedMs: Math.round(waitedMs),
      slots: load.slots,
      openSlots: load.openSlots,
      running: load.running,
      nestedRunning: load.nestedRunning ?? 0,
      queued: load.queued,
      leftOut: this.limit.takeLeftOut(),
    });
  }
}
