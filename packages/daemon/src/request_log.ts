/**
 * Writes one line for each routed request that fails here, with what decided it, so that an engineer
 * finds the cause from the request's name. The lines of one second are bounded; what was left out is
 * counted in the next line.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';

import type {AttemptResult, Exchange} from './exchange.js';
import {LineLimit} from './line_limit.js';

/** What an entry knew when it decided. */
export interface RouteKnowledge {
  /** Generation of the configuration in force. */
  readonly configuration: number;
  /** Generation of the service's assignment; 0 when there is none. */
  readonly assignment: number;
  /** Milliseconds since the store last answered this daemon or its relay. */
  readonly storeSilenceMs: number;
  /** How late this process is with its work, in milliseconds. */
  readonly loopLagMs: number;
}

/** Writes lines of failed requests. */
export class RequestLog {
  private readonly limit: LineLimit;

  constructor(
    private readonly system: System,
    private readonly log: Log,
    private readonly readKnowledge: (service: string) => RouteKnowledge,
  ) {
    this.limit = new LineLimit(system);
  }

  /** Takes note of how a request ended. */
  observe(exchange: Exchange, result: AttemptResult): void {
    const {routed, target, kind} = exchange;
    if (routed === undefined || result.kind === 'answered') return;
    if (!this.limit.tryTakeLine()) return;
    const {outcome, code, text, retryAfterMs, host = ''} = result.failure;
    const nowMs = this.system.getNow().monotonicMs;
    const knowledge = this.readKnowledge(target.service);
    this.log.writeInfo('A request was not answered by a server.', {
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
      configuration: knowledge.configuration,
      assignment: knowledge.assignment,
      storeSilenceMs: Math.round(knowledge.storeSilenceMs),
      loopLagMs: Math.round(knowledge.loopLagMs),
      leftOut: this.limit.takeLeftOut(),
    });
  }
}
