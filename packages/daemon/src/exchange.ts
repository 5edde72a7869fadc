/**
 * Types of a request that is processed by the daemon, of the sink for its response and of its result.
 */
import type {Instant, ServiceName} from '@dottereldrift/core/types.js';
import type {RequestKind, ServiceRules} from '@dottereldrift/manifest/types.js';
import type {
  AttemptFailure,
  RequestTarget,
} from '@dottereldrift/routing/types.js';

import type {AbandonmentSignal} from './abandonment_signal.js';
import type {CallerProtocol} from './caller_protocol.js';
import type {Upload} from './upload.js';

/** Body of a request: buffered in memory, or a stream that can be read once. */
export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'buffered'; readonly bytes: Buffer}
  | {readonly kind: 'stream'; readonly upload: Upload};

/** Additional properties of a request whose service was selected by a route. */
export interface RoutedRequest {
  readonly protocol: CallerProtocol;
  /** Value of the caller's host header, forwarded unchanged. */
  readonly authority: string;
  /** Identifier of the request, unique for each time that a caller sends it. */
  readonly requestId: string;
  /** Service on whose host the request originated. */
  readonly origin: ServiceName;
  /** Latency goal: time within which a response is of full value to the caller, in milliseconds. */
  readonly goalMs: number;
}

/** A request with everything that the stages of the daemon need to process it. */
export interface Exchange {
  readonly method: string;
  readonly target: RequestTarget;
  readonly rules: ServiceRules;
  readonly kind: RequestKind;
  /** Headers forwarded to the backend server. */
  readonly headers: Record<string, string | string[]>;
  readonly body: RequestBody;
  readonly receivedAt: Instant;
  /** Monotonic time by which the caller needs the response. */
  readonly deadlineAtMs: number;
  readonly caller: string;
  readonly idempotencyKey: string | undefined;
  /** Generation under which the request was first routed; undefined when unknown. */
  readonly firstGeneration: number | undefined;
  /** Wall-clock time at which the caller first sent the request; undefined when unknown. */
  readonly firstSentWallMs: number | undefined;
  readonly answer: AnswerSink;
  /** Set when a route selected the service. */
  readonly routed?: RoutedRequest;
  /**
   * Number of requests of another daemon that its offer of this one stands for; undefined for requests of this
   * daemon's own callers.
   */
  readonly offeredRequests?: number;
  /** Signals that the caller has disconnected. */
  readonly abandonment: AbandonmentSignal;
}

/** Receives a response. All methods except `abort` must be called in the order listed. */
export interface AnswerSink {
  /** Starts the response of a backend server. */
  startAnswer(status: number, headers: Record<string, string | string[]>): void;
  /** Writes a chunk of the body; returns false when the caller cannot keep up. */
  writeChunk(chunk: Buffer): boolean;
  /** Calls back once when the caller has caught up. */
  waitForDrain(callback: () => void): void;
  /** Ends the response, with trailers if its encoding allows them. */
  endAnswer(trailers: Readonly<Record<string, string | string[]>>): void;
  /** Returns the bytes of the body written so far, if the sink counts them. */
  getBytes?(): number;
  /** Closes the connection so that the caller sees that the response is incomplete. */
  abort(): void;
}

/** Result of an attempt. */
export type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Whether the response ended before it was complete. */
      readonly isTruncated: boolean;
      /** Response for the idempotency window, when it was to be kept and was complete. */
      readonly kept?: KeptResponse;
      /** Share of the requests of this kind that the daemon that responded advises to offer to it. */
      readonly offerShare?: number;
    }
  | {readonly kind: 'failed'; readonly failure: AttemptFailure};

/** A relayed response that is kept for duplicate requests. */
export interface KeptResponse {
  readonly headerPairs: readonly string[];
  /** Undefined when the body was too large to keep. */
  readonly body: Buffer | undefined;
}
