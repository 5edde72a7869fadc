/**
 * Keeps the requests of one service that are not idempotent from running twice: looks each up in the
 * window, lets a repeat wait for the request that it repeats, and refuses what may have run before.
 */
import type {System} from '@dottereldrift/core/system.js';
import {
  IdempotencyWindow,
  type RequestName,
  type WindowAnswer,
} from '@dottereldrift/limits/idempotency_window.js';
import type {Assignment, Slice} from '@dottereldrift/ownership/types.js';
import {isCertainlyNew} from '@dottereldrift/routing/request_novelty.js';

import type {AttemptResult, Exchange} from './exchange.js';
import {createDefect, fail, refuse} from './failures.js';
import {RecordsClock} from './records_clock.js';
import {answerRepeat, createRequestName, recordEnd} from './repeats.js';
import {RunningRequests} from './running_requests.js';
import type {Limits} from './settings.js';

/** Time after which a full window may have room. */
const FULL_RETRY_MS = 1_000;

/** A request as the guard sees it. */
export interface GuardedRequest {
  readonly exchange: Exchange;
  readonly idempotencyKey: string;
  readonly position: number;
  readonly slice: Slice | undefined;
  /** Headers of an answer that is given again. */
  readonly answerHeaders: Readonly<Record<string, string>>;
}

/** Guard of one service. */
export class OnceGuard {
  readonly window: IdempotencyWindow;
  private readonly recordsClock: RecordsClock;
  private readonly runningRequests: RunningRequests;

  constructor(
    private readonly system: System,
    private readonly limits: Limits,
  ) {
    this.window = new IdempotencyWindow({
      maxEntries: limits.idempotencyEntries,
      maxBytes: limits.idempotencyBytes,
      retentionMs: limits.idempotencyRetentionMs,
    });
    this.recordsClock = new RecordsClock(system);
    this.runningRequests = new RunningRequests(system);
  }

  /** Takes note of when the records of slices begin. */
  applyAssignment(assignment: Assignment): void {
    this.recordsClock.applyAssignment(assignment);
  }

  /** Runs a request unless it has run, runs, or may have run. */
  async runOnce(
    request: GuardedRequest,
    run: () => Promise<AttemptResult>,
  ): Promise<AttemptResult> {
    const {exchange, idempotencyKey, answerHeaders} = request;
    const name = createRequestName(exchange, idempotencyKey);
    const looked = await this.findRecord(request, name);
    if (looked.kind === 'full') return fail(refuse('DD3019', FULL_RETRY_MS));
    if (looked.kind === 'mismatch') return fail(refuse('DD3029', 0));
    if (looked.kind === 'known')
      return answerRepeat(exchange, looked.state, answerHeaders);
    if (!this.isNew(request)) {
      this.window.cancelRequest(name.idempotencyKey);
      return fail({...refuse('DD3018', 0), outcome: 'unknown'});
    }
    const result = await run().catch(createDefect);
    recordEnd(this.window, name, result);
    this.runningRequests.recordEnd(name.idempotencyKey);
    return result;
  }

  /** Looks a request up; one that runs already is waited for, within the deadline of its repeat. */
  private async findRecord(
    request: GuardedRequest,
    name: RequestName,
  ): Promise<WindowAnswer> {
    const {exchange, position} = request;
    for (;;) {
      const nowMs = this.system.getNow().monotonicMs;
      const looked = this.window.startRequest(name, position, nowMs);
      const isRunning =
        looked.kind === 'known' && looked.state.kind === 'running';
      const mayWait =
        nowMs < exchange.deadlineAtMs && !exchange.abandonment.hasHappened();
      if (!isRunning || !mayWait) return looked;
      await this.runningRequests.waitForEnd(name.idempotencyKey, exchange);
    }
  }

  /** Tells whether a request without a record certainly did not run under an earlier owner. */
  private isNew({exchange, idempotencyKey, slice}: GuardedRequest): boolean {
    const recordsSince = slice?.recordsSince ?? 0;
    return isCertainlyNew({
      recordsSince,
      seenAt: this.recordsClock.getSeenAt(recordsSince),
      now: this.system.getNow(),
      retentionMs: this.limits.idempotencyRetentionMs,
      firstGeneration: exchange.firstGeneration,
      firstSentWallMs: exchange.firstSentWallMs,
      idempotencyKey,
    });
  }
}
