/**
 * Admits requests while a daemon stops, so that none is broken off when its process exits. Callers and peers need
 * some time to notice that the daemon stops; until then every request is admitted. Afterwards a request is admitted
 * only if its deadline passes before the process exits, and is refused at once otherwise. Requests that are
 * still in progress at the end are ended with an outcome.
 */
import type {System} from '@dottereldrift/core/system.js';
import {formatMessage} from '@dottereldrift/core/messages.js';

import type {AttemptResult, Exchange} from './exchange.js';
import {
  createFailedResult,
  createNotRunFailure,
  SHORT_RETRY_MS,
} from './failures.js';
import type {RequestSource} from './headers.js';

/** Time for callers to learn that this daemon accepts no more requests, before it restarts. */
const RESTART_NOTICE_MS = 2_200;
/**
 * Longest time for which all requests are admitted. The platform allows a daemon to break off a request that is sent
 * later than 3 s after the stop signal only if its deadline has passed.
 */
const MAX_NOTICE_MS = 2_500;
/** Largest fraction of the grace period that the notice takes; requests have the rest to finish. */
const MAX_NOTICE_SHARE = 5 / 12;
/** Fraction of the grace period after which the requests in progress are ended. */
const REQUESTS_SHARE = 7 / 8;
/** Fraction of the grace period after which the process exits. */
const EXIT_SHARE = 11 / 12;
/** Time that the response to a request takes after its deadline. */
const RESPONSE_MARGIN_MS = 50;

/** The course of a stop, in milliseconds since the stop signal. */
export interface StopTimes {
  /** Time for which all requests are admitted if the daemon is going to restart. */
  readonly noticeMs: number;
  /** Longest time for which all requests are admitted. */
  readonly maxNoticeMs: number;
  /** Time at which the requests in progress are ended. */
  readonly requestsEndMs: number;
  /** Time at which the process exits. */
  readonly exitMs: number;
}

/** Divides a grace period in milliseconds; an infinite one ends no request. */
export function createStopTimes(graceMs: number): StopTimes {
  const maxNoticeMs = Math.min(MAX_NOTICE_MS, graceMs * MAX_NOTICE_SHARE);
  return {
    noticeMs: Math.min(RESTART_NOTICE_MS, maxNoticeMs),
    maxNoticeMs,
    requestsEndMs: graceMs * REQUESTS_SHARE,
    exitMs: graceMs * EXIT_SHARE,
  };
}

/** Admits the requests of callers and peers, and ends those that outlast the daemon. */
export class ShutdownGate {
  private readonly inProgress = new Set<Exchange>();
  private times: StopTimes | undefined;
  private startedAtMs = 0;
  private hasEndedRequests = false;

  constructor(private readonly system: System) {}

  /** Starts to refuse requests that cannot be finished in time. */
  startStopping(times: StopTimes): void {
    this.times = times;
    this.startedAtMs = this.system.getNow().monotonicMs;
  }

  /** Handles a request unless it is refused. */
  async handle(
    exchange: Exchange,
    source: RequestSource,
    handle: (exchange: Exchange) => Promise<AttemptResult>,
  ): Promise<AttemptResult> {
    if (!this.mayFinish(exchange)) return this.refuseRequest(source);
    this.inProgress.add(exchange);
    try {
      const result = await handle(exchange);
      return this.hasEndedRequests ? replaceReason(result) : result;
    } finally {
      this.inProgress.delete(exchange);
    }
  }

  /** Ends the requests in progress and refuses all others from now on; returns the number ended. */
  endRequests(): number {
    this.hasEndedRequests = true;
    const ended = [...this.inProgress];
    for (const {abandonment} of ended) abandonment.recordDisconnect();
    return ended.length;
  }

  private mayFinish({deadlineAtMs}: Exchange): boolean {
    if (this.times === undefined) return true;
    if (this.hasEndedRequests) return false;
    const {maxNoticeMs, requestsEndMs} = this.times;
    const sinceStopMs = this.system.getNow().monotonicMs - this.startedAtMs;
    const endsAtMs = this.startedAtMs + requestsEndMs;
    return (
      sinceStopMs < maxNoticeMs || deadlineAtMs + RESPONSE_MARGIN_MS <= endsAtMs
    );
  }

  private refuseRequest(source: RequestSource): AttemptResult {
    return createFailedResult(
      createNotRunFailure('DD3021', this.computeRetryAfterMs(source)),
    );
  }

  /** Returns the time until this daemon has stopped; a peer can try another daemon sooner. */
  private computeRetryAfterMs(source: RequestSource): number {
    if (source === 'peer') return SHORT_RETRY_MS;
    const exitAtMs = this.startedAtMs + (this.times?.exitMs ?? 0);
    const leftMs = exitAtMs - this.system.getNow().monotonicMs;
    return Math.max(SHORT_RETRY_MS, Math.round(leftMs));
  }
}

/** Reports the stop as the reason why a request was ended. */
function replaceReason(result: AttemptResult): AttemptResult {
  if (result.kind === 'answered' || result.failure.code !== 'DD3022')
    return result;
  const text = formatMessage('DD3021');
  return createFailedResult({...result.failure, code: 'DD3021', text});
}
