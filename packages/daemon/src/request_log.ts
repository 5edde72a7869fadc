/**
 * Logs each routed request that fails at this entry, with the state that the decision was based on, so that
 * the cause can be looked up by request identifier. The lines per second are bounded; the next line states
 * how many were omitted.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';

import type {AttemptResult, Exchange} from './exchange.js';
import {LogRateLimiter} from './log_rate_limiter.js';

/** State that an entry's routing decision was based on. */
export interface RoutingState {
  /** Generation of the configuration in force. */
  readonly configuration: number;
  /** Generation of the service's assignment; 0 when there is none. */
  readonly assignment: number;
  /** Milliseconds since the store last answered this daemon or its relay. */
  readonly storeSilenceMs: number;
  /** Lag of the event loop of this process, in milliseconds. */
  readonly loopLagMs: number;
}

/** Logs failed requests, at a bounded rate. */
export class FailureLog {
  private readonly limit: LogRateLimiter;

  constructor(
    private readonly system: System,
    private readonly log: Log,
    private readonly readRoutingState: (service: string) => RoutingState,
  ) {
    this.limit = new LogRateLimiter(system);
  }

  /** Logs a request that failed. */
  observe(exchange: Exchange, result: AttemptResult): void {
    const {routed, target, kind} = exchange;
    if (routed === undefined || result.kind === 'answered') return;
    if (!this.limit.tryTakeLine()) return;
    const {outcome, code, text, retryAfterMs, host = ''} = result.failure;
    const nowMs = this.system.getNow().monotonicMs;
    const state = this.readRoutingState(target.service);
    this.log.writeInfo('Request failed without a response.', {
      requestId: routed.requestId,
      service: target.service,
      kind: kind.name,
      key: target.key ?? '',
      askedHost: host,
      outcome,
      code,
      reason: text,
      retryAfterMs: Math.round(retryAfterMs),
      tookMs: Math.round(nowMs - exchange.receivedAt.monotonicMs),
      leftMs: Math.round(exchange.deadlineAtMs - nowMs),
      configuration: state.configuration,
      assignment: state.assignment,
      storeSilenceMs: Math.round(state.storeSilenceMs),
      loopLagMs: Math.round(state.loopLagMs),
      leftOut: this.limit.takeDroppedCount(),
    });
  }
}
