/**
 * Writes one line for each routed request that fails here, with what decided it, so that an engineer
 * finds the cause from the request's name. The lines of one second are bounded; what was left out is
 * counted in the next line.
 */
import type {Log} from '@dottereldrift/core/log.js';
import type {System} from '@dottereldrift/core/system.js';

import type {AttemptResult, Exchange} from './exchange.js';

/** Lines in one second; a burst of refusals must not spend the processor on its own record. */
const MAX_LINES_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;

/** What an entry knew when it decided. */
export interface RouteKnowledge {
  /** Generation of the configuration in force. */
  readonly configuration: number;
  /** Generation of the service's assignment; 0 when there is none. */
  readonly assignment: number;
  /** Milliseconds since the store last answered this daemon or its relay. */
  readonly storeSilenceMs: number;
}

/** Writes lines of failed requests. */
export class RequestLog {
  private secondStartMs = -Infinity;
  private lines = 0;
  private leftOut = 0;

  constructor(
    private readonly system: System,
    private readonly log: Log,
    private readonly readKnowledge: (service: string) => RouteKnowledge,
  ) {}

  /** Takes note of how a request ended. */
  observe(exchange: Exchange, result: AttemptResult): void {
    const {routed, target, kind} = exchange;
    if (routed === undefined || result.kind === 'answered') return;
    if (!this.tryTakeLine()) return;
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
      leftOut: this.takeLeftOut(),
    });
  }

  private tryTakeLine(): boolean {
    const nowMs = this.system.getNow().monotonicMs;
    if (nowMs - this.secondStartMs >= MS_PER_SECOND) {
      this.secondStartMs = nowMs;
      this.lines = 0;
    }
    if (this.lines >= MAX_LINES_PER_SECOND) {
      this.leftOut += 1;
      return false;
    }
    this.lines += 1;
    return true;
  }

  private takeLeftOut(): number {
    const {leftOut} = this;
    this.leftOut = 0;
    return leftOut;
  }
}
