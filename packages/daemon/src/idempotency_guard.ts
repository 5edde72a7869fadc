/**
 * Prevents requests of one service that are not idempotent from running twice: looks each up in the
 * idempotency window, lets a duplicate wait for the running original, and refuses what may already have run.
 */
import type {System} from '@dottereldrift/core/system.js';
import {
  IdempotencyWindow,
  type RequestIdentity,
  type WindowDecision,
} from '@dottereldrift/limits/idempotency_window.js';
import type {Assignment, Slice} from '@dottereldrift/ownership/types.js';
import {isCertainlyNew} from '@dottereldrift/routing/request_novelty.js';

import type {AttemptResult, Exchange} from './exchange.js';
import {
  createInternalError,
  createFailedResult,
  createNotRunFailure,
} from './failures.js';
import {RecordsSinceTracker} from './records_since_tracker.js';
import {
  answerDuplicate,
  createRequestName,
  recordOutcome,
} from './duplicate_requests.js';
import {DuplicateWaiters} from './duplicate_waiters.js';
import type {Limits} from './settings.js';

/** Time after which a full window may accept entries again. */
const WINDOW_FULL_RETRY_MS = 1_000;

/** A request that must run at most once. */
export interface GuardedRequest {
  readonly exchange: Exchange;
  readonly idempotencyKey: string;
  readonly position: number;
  readonly slice: Slice | undefined;
  /** Headers added when a stored response is replayed. */
  readonly answerHeaders: Readonly<Record<string, string>>;
}

/** Runs each request of one service at most once. */
export class IdempotencyGuard {
  readonly window: IdempotencyWindow;
  private readonly recordsClock: RecordsSinceTracker;
  private readonly runningRequests: DuplicateWaiters;

  constructor(
    private readonly system: System,
    private readonly limits: Limits,
  ) {
    this.window = new IdempotencyWindow({
      maxEntries: limits.idempotencyEntries,
      maxBytes: limits.idempotencyBytes,
      retentionMs: limits.idempotencyRetentionMs,
    });
    this.recordsClock = new RecordsSinceTracker(system);
    this.runningRequests = new DuplicateWaiters(system);
  }

  /** Remembers when the idempotency records of each slice begin. */
  applyAssignment(assignment: Assignment): void {
    this.recordsClock.applyAssignment(assignment);
  }

  /** Runs a request unless it is running, has run or may have run. */
  async runOnce(
    request: GuardedRequest,
    run: () => Promise<AttemptResult>,
  ): Promise<AttemptResult> {
    const {exchange, idempotencyKey, answerHeaders} = request;
    const name = createRequestName(exchange, idempotencyKey);
    const found = await this.findRecord(request, name);
    if (found.kind === 'full')
      return createFailedResult(
        createNotRunFailure('DD3019', WINDOW_FULL_RETRY_MS),
      );
    if (found.kind === 'mismatch')
      return createFailedResult(createNotRunFailure('DD3029', 0));
    if (found.kind === 'known')
      return answerDuplicate(exchange, found.state, answerHeaders);
    if (!this.isNew(request)) {
      this.window.cancelRequest(name.idempotencyKey);
      return createFailedResult({
        ...createNotRunFailure('DD3018', 0),
        outcome: 'unknown',
      });
    }
    const result = await run().catch(createInternalError);
    recordOutcome(this.window, name, result);
    this.runningRequests.notifyEnd(name.idempotencyKey);
    return result;
  }

  /** Looks a request up in the window; waits for a running original until the deadline of the duplicate. */
  private async findRecord(
    request: GuardedRequest,
    name: RequestIdentity,
  ): Promise<WindowDecision> {
    const {exchange, position} = request;
    for (;;) {
      const nowMs = this.system.getNow().monotonicMs;
      const found = this.window.startRequest(name, position, nowMs);
      const isRunning =
        found.kind === 'known' && found.state.kind === 'running';
      const mayWait =
        nowMs < exchange.deadlineAtMs && !exchange.abandonment.isAbandoned();
      if (!isRunning || !mayWait) return found;
      await this.runningRequests.waitForEnd(name.idempotencyKey, exchange);
    }
  }

  /** Tells whether a request without a record certainly has not run under an earlier owner. */
  private isNew({exchange, idempotencyKey, slice}: GuardedRequest): boolean {
    const recordsSince = slice?.recordsSince ?? 0;
    return isCertainlyNew({
      recordsSince,
      seenAt: this.recordsClock.getFirstSeenAt(recordsSince),
      now: this.system.getNow(),
      retentionMs: this.limits.idempotencyRetentionMs,
      firstGeneration: exchange.firstGeneration,
      firstSentWallMs: exchange.firstSentWallMs,
      idempotencyKey,
    });
  }
}
