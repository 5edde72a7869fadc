/**
 * Logs each routed request that is refused a slot by this host, with the load on which the refusal was based,
 * so that a full backend server can be told from one with idle slots.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';
import type {SlotRefusal} from '@dottereldrift/limits/types.js';

import type {Exchange} from './exchange.js';
import {LogRateLimiter} from './log_rate_limiter.js';

/** Logs refused requests, at a bounded rate. */
export class RefusalLog {
  private readonly limit: LogRateLimiter;

  constructor(
    private readonly system: System,
    private readonly log: Log,
  ) {
    this.limit = new LogRateLimiter(system);
  }

  /** Logs a refusal. */
  observe({routed, target, kind, receivedAt}: Exchange, refusal: SlotRefusal) {
    if (routed === undefined || !this.limit.tryTakeLine()) return;
    const {load} = refusal;
    const waitedMs = this.system.getNow().monotonicMs - receivedAt.monotonicMs;
    this.log.writeInfo('Request refused because no slot was available.', {
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
      leftOut: this.limit.takeDroppedCount(),
    });
  }
}
