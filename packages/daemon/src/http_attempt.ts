/**
 * Sends a request over HTTP exactly once and reports what is known of its outcome. A request of which
 * nothing has been written to a connection was not run; once it has been written, its outcome is unknown
 * until a response says otherwise.
 */
import type {Readable} from 'node:stream';

import type {Dispatcher} from 'undici';

import {getErrorText} from '@dottereldrift/core/errors.js';
import {formatMessage, type MessageCode} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Outcome} from '@dottereldrift/core/types.js';
import type {AttemptFailure} from '@dottereldrift/routing/types.js';

import type {AbandonmentSignal} from './abandonment_signal.js';
import type {
  AnswerSink,
  AttemptResult,
  KeptResponse,
  RequestBody,
} from './exchange.js';
import {
  filterHeaders,
  getHeader,
  type HeaderList,
  type HeaderMap,
} from './headers.js';
import {UploadTooLargeError} from './upload.js';

/** Maximum bytes of a response buffered for a slow caller when reading the response cannot be paused. */
export const MAX_UNDRAINED_BYTES = 8 * 1_024 * 1_024;
/** Maximum bytes of a body not meant for the caller that are read so that its connection can be reused. */
const MAX_DISCARDED_BYTES = 64 * 1_024;
/** Maximum number of interim responses, which have a status below 200, before the final response. */
const MAX_INTERIM_RESPONSES = 1_000;

/** Parameters of one attempt to send a request. */
export interface Attempt {
  readonly dispatcher: Dispatcher;
  /** Name of the server or daemon that the request is sent to, for messages. */
  readonly peerName: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]> | HeaderList;
  readonly body: RequestBody;
  /** Monotonic time at which the attempt is cancelled. */
  readonly expiresAtMs: number;
  /** The deadline as stated in messages, in milliseconds. */
  readonly deadlineMs: number;
  readonly abandonment: AbandonmentSignal;
  readonly answer: AnswerSink;
  /** Checks, just before the first byte is written, whether the request must still be refused. */
  readonly findLateRefusal?: () => AttemptFailure | undefined;
  /** Reads a refusal from the head of a response; undefined when the response is for the caller. */
  readonly readFailure: (
    status: number,
    headers: HeaderMap,
  ) => AttemptFailure | undefined;
  /** Tells from the head of a response that it belongs to another request; its connection is then closed. */
  readonly isForeignAnswer?: (status: number, headers: HeaderMap) => boolean;
  /**
   * Tells from the head of a refusal whether it names its request. A refusal that does not is believed, but its
   * connection is closed, because a duplicate of it could pass for the response to another request.
   */
  readonly isIdentified?: (headers: HeaderMap) => boolean;
  /** Whether the body of a response may be delimited by the end of the connection. */
  readonly mayEndWithConnection?: boolean;
  /** Headers added to the response. */
  readonly answerHeaders: Readonly<Record<string, string>>;
  /** Largest response body that is kept for duplicate requests; 0 when the response is not kept. */
  readonly maxKeptBytes: number;
}

type CancelReason = 'deadline' | 'abandoned';

/** Sends a request and relays its response. */
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
  private isFinished = false;
  private status = 0;
  private hasAnswer = false;
  private isPausable = false;
  private interimResponses = 0;
  private discardedBytes = 0;
  /** Bytes relayed since the caller last caught up, counted only when reading cannot be paused. */
  private undrainedBytes = 0;
  private failure: AttemptFailure | undefined;
  private cancelReason: CancelReason | undefined;
  private keptHeaders: Record<string, string | string[]> = {};
  private keptChunks: Buffer[] | undefined;
  private keptBytes = 0;
  private cancelTimer: () => void = () => {};
  private readonly onAbandoned = () => {
    this.cancelAttempt('abandoned');
  };

  constructor(
    private readonly system: System,
    private readonly attempt: Attempt,
    private readonly resolve: (result: AttemptResult) => void,
  ) {}

  start(): void {
    const {attempt} = this;
    if (attempt.abandonment.isAbandoned()) {
      this.cancelAttempt('abandoned');
      return;
    }
    attempt.abandonment.addListener(this.onAbandoned);
    const delayMs = attempt.expiresAtMs - this.system.getNow().monotonicMs;
    this.cancelTimer = this.system.startTimer(Math.max(0, delayMs), () => {
      this.cancelAttempt('deadline');
    });
    this.dispatch();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // Throwing here cancels the request before any byte is written and keeps the connection open;
    // `abort` would close the connection, which is idle and usable.
    if (this.cancelReason !== undefined) throw new Error(this.cancelReason);
    // The HTTP library may dispatch a request to a second connection; a written request is not resent.
    if (this.isSent) throw new Error('the request has already been sent');
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
    if (!isValidStatus(status)) {
      const error = new Error(`the response has the invalid status ${status}`);
      this.failure = this.createFailure(error);
      controller.abort(error);
      return;
    }
    if (status < 200) {
      this.interimResponses += 1;
      if (this.interimResponses > MAX_INTERIM_RESPONSES)
        controller.abort(new Error('too many interim responses'));
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
    if (this.failure !== undefined) {
      if (this.attempt.isIdentified?.(headers) === false)
        controller.abort(new Error(this.failure.code));
      return;
    }
    const passed = Object.assign(
      filterHeaders(headers),
      this.attempt.answerHeaders,
    );
    if (this.attempt.maxKeptBytes > 0) {
      this.keptHeaders = filterHeaders(headers);
      this.keptChunks = [];
    }
    this.attempt.answer.startAnswer(status, passed);
    this.hasAnswer = true;
    this.isPausable = isKeepAlive(headers);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.hasAnswer) {
      this.discardedBytes += chunk.byteLength;
      if (this.discardedBytes > MAX_DISCARDED_BYTES)
        controller.abort(
          new Error('the body of a refusal is too large to discard'),
        );
      return;
    }
    this.keepChunk(chunk);
    const hasRoom = this.attempt.answer.writeChunk(chunk);
    if (hasRoom) return;
    if (!this.isPausable) {
      this.countUndrained(controller, chunk);
      return;
    }
    controller.pause();
    this.attempt.answer.waitForDrain(() => {
      controller.resume();
    });
  }

  /** Aborts a response when the caller leaves too many bytes of it unread. */
  private countUndrained(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.undrainedBytes === 0) {
      this.attempt.answer.waitForDrain(() => {
        this.undrainedBytes = 0;
      });
    }
    this.undrainedBytes += chunk.byteLength;
    if (this.undrainedBytes > MAX_UNDRAINED_BYTES)
      controller.abort(new Error('the caller reads the response too slowly'));
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
      isTruncated: false,
    } as const;
    this.finish(kept === undefined ? answered : {...answered, kept});
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.hasAnswer && this.isBodyless(this.status)) {
      // The head is the complete response; undici expects a body when a 304 has a content length.
      this.onResponseEnd(controller, {});
    } else if (this.hasAnswer) {
      this.attempt.answer.abort();
      this.finish({kind: 'answered', status: this.status, isTruncated: true});
    } else {
      this.finish({
        kind: 'failed',
        failure: this.failure ?? this.createFailure(error),
      });
    }
  }

  /**
   * Rejects a response whose body is delimited only by the end of the connection: a server that crashes in
   * the middle of it cannot be told from one that has finished.
   */
  private findFramingFailure(
    status: number,
    headers: HeaderMap,
  ): AttemptFailure | undefined {
    const isDelimited =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    const mayEnd = this.attempt.mayEndWithConnection === true;
    if (this.isBodyless(status) || isDelimited || mayEnd) return undefined;
    const text = formatMessage('DD3028', {peer: this.attempt.peerName});
    return {outcome: 'unknown', code: 'DD3028', text, retryAfterMs: 0};
  }

  private createForeignFailure(): AttemptFailure {
    const text = formatMessage('DD3032', {peer: this.attempt.peerName});
    return {outcome: 'unknown', code: 'DD3032', text, retryAfterMs: 0};
  }

  private isBodyless(status: number): boolean {
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

  private cancelAttempt(reason: CancelReason): void {
    if (this.isFinished || this.cancelReason !== undefined) return;
    this.cancelReason = reason;
    if (this.controller !== undefined) {
      this.controller.abort(new Error(reason));
      return;
    }
    // Nothing is written yet: `onRequestStart` throws before anything is.
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
    if (this.cancelReason === 'deadline')
      return this.isSent ? 'DD3007' : 'DD3006';
    if (this.cancelReason === 'abandoned') return 'DD3022';
    return this.isSent ? 'DD3009' : 'DD3008';
  }

  private keepChunk(chunk: Buffer): void {
    if (this.keptChunks === undefined) return;
    this.keptBytes += chunk.byteLength;
    if (this.keptBytes <= this.attempt.maxKeptBytes)
      this.keptChunks.push(Buffer.from(chunk));
    else this.keptChunks = [];
  }

  private createKept(): KeptResponse | undefined {
    if (this.keptChunks === undefined) return undefined;
    const isWhole = this.keptBytes <= this.attempt.maxKeptBytes;
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
    if (this.isFinished) return;
    this.isFinished = true;
    this.cancelTimer();
    this.attempt.abandonment.removeListener(this.onAbandoned);
    this.resolve(result);
  }
}

/** Returns whether HTTP defines the class of a status; the HTTP library's parser accepts any three digits. */
function isValidStatus(status: number): boolean {
  return status >= 100 && status < 600;
}

/**
 * Tells whether a connection stays open after its response. The HTTP library fails when a connection ends
 * while reading is paused, so a response that ends its connection is read without pausing: what the caller
 * has not read yet is buffered up to a limit, beyond which the response is aborted.
 */
function isKeepAlive(headers: HeaderMap): boolean {
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

/** Parses a response header as a number; 0 when it is absent or not a number. */
export function parseNumberHeader(headers: HeaderMap, name: string): number {
  const value = Number(getHeader(headers, name) ?? 0);
  return Number.isFinite(value) ? value : 0;
}
