/**
 * Sends one request over HTTP, once, and tells exactly what is known of it afterwards. As long as
 * nothing has been written to a connection the request was not run; from then on, and until an
 * answer says otherwise, it may have been.
 */
import type {Readable} from 'node:stream';

import type {Dispatcher} from 'undici';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage, type MessageCode} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Outcome} from '@dottereldrift/core/types.js';
import type {AttemptFailure} from '@dottereldrift/routing/types.js';

import type {Abandonment} from './abandonment.js';
import type {
  AnswerSink,
  AttemptResult,
  KeptBody,
  RequestBody,
} from './exchange.js';
import {
  filterHeaders,
  getHeader,
  type HeaderList,
  type HeaderMap,
} from './headers.js';
import {UploadTooLargeError} from './upload.js';

/** Most bytes of an answer that wait in memory for a caller while the reading cannot pause. */
export const MAX_WAITING_BYTES = 8 * 1_024 * 1_024;
/** Most bytes that are read of a body that is not for the caller, so that its connection can go on. */
const MAX_DROPPED_BYTES = 64 * 1_024;
/** Most interim answers, with a status below 200, before the answer. */
const MAX_INTERIM_ANSWERS = 1_000;

/** One attempt. */
export interface Attempt {
  readonly dispatcher: Dispatcher;
  /** Name of the other side, for messages. */
  readonly peerName: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]> | HeaderList;
  readonly body: RequestBody;
  /** Monotonic time at which the attempt is given up. */
  readonly giveUpAtMs: number;
  /** The deadline that messages name, in milliseconds. */
  readonly deadlineMs: number;
  readonly abandonment: Abandonment;
  readonly answer: AnswerSink;
  /** Looks, at the moment of the first byte, for a reason not to send after all. */
  readonly findLateRefusal?: () => AttemptFailure | undefined;
  /** Reads a refusal from the head of an answer; undefined when the answer is for the caller. */
  readonly readFailure: (
    status: number,
    headers: HeaderMap,
  ) => AttemptFailure | undefined;
  /** Tells from the head of an answer that it belongs to another request, so that its connection ends. */
  readonly isForeignAnswer?: (status: number, headers: HeaderMap) => boolean;
  /** Whether an answer without a length may end with its connection. */
  readonly mayEndWithConnection?: boolean;
  /** Headers added to the answer. */
  readonly answerHeaders: Readonly<Record<string, string>>;
  /** Largest body that is kept for repeats; 0 when none is to be kept. */
  readonly keepBytes: number;
}

type GiveUpReason = 'deadline' | 'abandoned';

/** Sends a request and passes its answer on. */
export function sendAttempt(
  system: System,
  attempt: Attempt,
): Promise<AttemptResult> {
  return new Promise(resolve => {
    const handler = new AttemptHandler(system, attempt, resolve);
    handler.start();
  });
}

class AttemptHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private isSent = false;
  private isOver = false;
  private status = 0;
  private hasAnswer = false;
  private mayPause = false;
  private interimAnswers = 0;
  private droppedBytes = 0;
  /** Bytes passed on since the caller last kept up, where the reading cannot pause. */
  private waitingBytes = 0;
  private failure: AttemptFailure | undefined;
  private giveUpReason: GiveUpReason | undefined;
  private keptHeaders: Record<string, string | string[]> = {};
  private keptChunks: Buffer[] | undefined;
  private keptBytes = 0;
  private cancelTimer: () => void = () => {};
  private readonly abandon = () => {
    this.endAttempt('abandoned');
  };

  constructor(
    private readonly system: System,
    private readonly attempt: Attempt,
    private readonly resolve: (result: AttemptResult) => void,
  ) {}

  start(): void {
    const {attempt} = this;
    if (attempt.abandonment.hasHappened()) {
      this.endAttempt('abandoned');
      return;
    }
    attempt.abandonment.addListener(this.abandon);
    const delayMs = attempt.giveUpAtMs - this.system.getNow().monotonicMs;
    this.cancelTimer = this.system.startTimer(Math.max(0, delayMs), () => {
      this.endAttempt('deadline');
    });
    this.dispatch();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // Throwing here withdraws the request before a byte of it is written and leaves the connection
    // open; `abort` would close the connection, which is idle and sound.
    if (this.giveUpReason !== undefined) throw new Error(this.giveUpReason);
    // The HTTP library may offer a request to a second connection; what was written is not sent again.
    if (this.isSent) throw new Error('the request was sent before');
    this.failure = this.attempt.findLateRefusal?.();
    if (this.failure !== undefined) throw new Error(this.failure.code);
    this.controller = controller;
    this.isSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderMap,
  ): void {
    if (status < 200) {
      this.interimAnswers += 1;
      if (this.interimAnswers > MAX_INTERIM_ANSWERS)
        controller.abort(new Error('too many interim answers'));
      return;
    }
    if (this.attempt.isForeignAnswer?.(status, headers) === true) {
      this.failure = this.createForeignFailure();
      controller.abort(new Error(this.failure.code));
      return;
    }
    this.status = status;
    this.failure =
      this.attempt.readFailure(status, headers) ??
      this.findFramingFailure(status, headers);
    if (this.failure !== undefined) return;
    const passed = Object.assign(
      filterHeaders(headers),
      this.attempt.answerHeaders,
    );
    if (this.attempt.keepBytes > 0) {
      this.keptHeaders = filterHeaders(headers);
      this.keptChunks = [];
    }
    this.attempt.answer.startAnswer(status, passed);
    this.hasAnswer = true;
    this.mayPause = isConnectionKept(headers);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.hasAnswer) {
      this.droppedBytes += chunk.byteLength;
      if (this.droppedBytes > MAX_DROPPED_BYTES)
        controller.abort(new Error('the body of a refusal is too large'));
      return;
    }
    this.keepChunk(chunk);
    const hasRoom = this.attempt.answer.writeChunk(chunk);
    if (hasRoom) return;
    if (!this.mayPause) {
      this.countWaiting(controller, chunk);
      return;
    }
    controller.pause();
    this.attempt.answer.waitForDrain(() => {
      controller.resume();
    });
  }

  /** Cuts an answer of which more waits than is allowed. */
  private countWaiting(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.waitingBytes === 0) {
      this.attempt.answer.waitForDrain(() => {
        this.waitingBytes = 0;
      });
    }
    this.waitingBytes += chunk.byteLength;
    if (this.waitingBytes > MAX_WAITING_BYTES)
      controller.abort(new Error('the caller is too slow for the answer'));
  }

  onResponseEnd(
    _controller: Dispatcher.DispatchController,
    trailers: HeaderMap,
  ): void {
    if (this.failure !== undefined) {
      this.finish({kind: 'failed', failure: this.failure});
      return;
    }
    this.attempt.answer.endAnswer(filterHeaders(trailers));
    const kept = this.createKept();
    const answered = {
      kind: 'answered',
      status: this.status,
      isCut: false,
    } as const;
    this.finish(kept === undefined ? answered : {...answered, kept});
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.hasAnswer && this.hasNoBody(this.status)) {
      // Whole with its head; undici misses the body that a 304 with a length does not have.
      this.onResponseEnd(controller, {});
    } else if (this.hasAnswer) {
      this.attempt.answer.abort();
      this.finish({kind: 'answered', status: this.status, isCut: true});
    } else {
      this.finish({
        kind: 'failed',
        failure: this.failure ?? this.createFailure(error),
      });
    }
  }

  /**
   * Refuses an answer whose end is only shown by the end of the connection: a server that dies in
   * the middle of it looks the same as one that has finished.
   */
  private findFramingFailure(
    status: number,
    headers: HeaderMap,
  ): AttemptFailure | undefined {
    const isDelimited =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    const mayEnd = this.attempt.mayEndWithConnection === true;
    if (this.hasNoBody(status) || isDelimited || mayEnd) return undefined;
    const text = formatMessage('DD3028', {peer: this.attempt.peerName});
    return {outcome: 'unknown', code: 'DD3028', text, retryAfterMs: 0};
  }

  private createForeignFailure(): AttemptFailure {
    const text = formatMessage('DD3032', {peer: this.attempt.peerName});
    return {outcome: 'unknown', code: 'DD3032', text, retryAfterMs: 0};
  }

  private hasNoBody(status: number): boolean {
    return this.attempt.method === 'HEAD' || status === 204 || status === 304;
  }

  private dispatch(): void {
    const {attempt} = this;
    try {
      attempt.dispatcher.dispatch(
        {
          method: attempt.method as Dispatcher.HttpMethod,
          path: attempt.path,
          headers: attempt.headers,
          body: getDispatchedBody(attempt.body),
        },
        this,
      );
    } catch (error) {
      this.finish({kind: 'failed', failure: this.createFailure(error)});
    }
  }

  private endAttempt(reason: GiveUpReason): void {
    if (this.isOver || this.giveUpReason !== undefined) return;
    this.giveUpReason = reason;
    if (this.controller !== undefined) {
      this.controller.abort(new Error(reason));
      return;
    }
    // Not yet written to a connection: `onRequestStart` will abort it before it is.
    this.finish({
      kind: 'failed',
      failure: this.createFailure(new Error(reason)),
    });
  }

  private createFailure(error: unknown): AttemptFailure {
    const outcome: Exclude<Outcome, 'completed'> = this.isSent
      ? 'unknown'
      : 'not-run';
    const code = this.chooseCode(error);
    const text = formatMessage(code, {
      limitBytes: error instanceof UploadTooLargeError ? error.limitBytes : 0,
      peer: this.attempt.peerName,
      reason: getErrorText(error),
      deadlineMs: this.attempt.deadlineMs,
    });
    return {outcome, code, text, retryAfterMs: 0};
  }

  private chooseCode(error: unknown): MessageCode {
    if (error instanceof UploadTooLargeError) return 'DD3015';
    if (this.giveUpReason === 'deadline')
      return this.isSent ? 'DD3007' : 'DD3006';
    if (this.giveUpReason === 'abandoned') return 'DD3022';
    return this.isSent ? 'DD3009' : 'DD3008';
  }

  private keepChunk(chunk: Buffer): void {
    if (this.keptChunks === undefined) return;
    this.keptBytes += chunk.byteLength;
    if (this.keptBytes <= this.attempt.keepBytes)
      this.keptChunks.push(Buffer.from(chunk));
    else this.keptChunks = [];
  }

  private createKept(): KeptBody | undefined {
    if (this.keptChunks === undefined) return undefined;
    const isWhole = this.keptBytes <= this.attempt.keepBytes;
    const headerPairs = Object.entries(this.keptHeaders).flatMap(
      ([name, value]) =>
        (Array.isArray(value) ? value : [value]).flatMap(one => [name, one]),
    );
    return {
      headerPairs,
      body: isWhole ? Buffer.concat(this.keptChunks) : undefined,
    };
  }

  private finish(result: AttemptResult): void {
    if (this.isOver) return;
    this.isOver = true;
    this.cancelTimer();
    this.attempt.abandonment.removeListener(this.abandon);
    this.resolve(result);
  }
}

/**
 * Tells whether a connection goes on after its answer. The HTTP library fails when a connection ends while
 * its reading pauses, so an answer that ends its connection is read without a pause; what the caller
 * cannot take yet waits in memory up to a limit, beyond which the answer is cut.
 */
function isConnectionKept(headers: HeaderMap): boolean {
  const isDelimited =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  const connection = String(headers['connection'] ?? '').toLowerCase();
  return isDelimited && !connection.includes('close');
}

function getDispatchedBody(body: RequestBody): Buffer | Readable | null {
  if (body.kind === 'none') return null;
  return body.kind === 'buffered' ? body.bytes : body.upload.createStream();
}

/** Reads one header of an answer as a number; 0 when it is absent or not a number. */
export function parseNumberHeader(headers: HeaderMap, name: string): number {
  const value = Number(getHeader(headers, name) ?? 0);
  return Number.isFinite(value) ? value : 0;
}
