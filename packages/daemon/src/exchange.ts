/**
 * One request on its way through the daemon, and the place where its answer goes.
 */
import type {Instant, ServiceName} from '@dottereldrift/core/types.js';
import type {RequestKind, ServiceRules} from '@dottereldrift/manifest/types.js';
import type {
  AttemptFailure,
  RequestTarget,
} from '@dottereldrift/routing/types.js';

import type {Abandonment} from './abandonment.js';
import type {CallerProtocol} from './caller_protocol.js';
import type {Upload} from './upload.js';

/** Body of a request: at hand as a whole, or streamed once. */
export type RequestBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'buffered'; readonly bytes: Buffer}
  | {readonly kind: 'stream'; readonly upload: Upload};

/** What a request that a route selected carries besides, from the entry to the backend server. */
export interface RoutedRequest {
  readonly protocol: CallerProtocol;
  /** Host that the caller addressed, passed on unchanged. */
  readonly authority: string;
  /** Name of the request, unique for each time that a caller sends it. */
  readonly requestId: string;
  /** Service on whose host the request began. */
  readonly origin: ServiceName;
  /** Time within which an answer is worth most to the caller, in milliseconds. */
  readonly goalMs: number;
}

/** A request as every stage of the daemon sees it. */
export interface Exchange {
  readonly method: string;
  readonly target: RequestTarget;
  readonly rules: ServiceRules;
  readonly kind: RequestKind;
  /** Headers for the backend server. */
  readonly headers: Record<string, string | string[]>;
  readonly body: RequestBody;
  readonly receivedAt: Instant;
  /** Monotonic time by which the caller needs the answer. */
  readonly deadlineAtMs: number;
  readonly caller: string;
  readonly idempotencyKey: string | undefined;
  /** Generation under which the request was first routed; undefined when nobody knows. */
  readonly firstGeneration: number | undefined;
  /** Wall-clock time at which the caller first sent it; undefined when nobody knows. */
  readonly firstSentWallMs: number | undefined;
  readonly answer: AnswerSink;
  /** Present when a route selected the service. */
  readonly routed?: RoutedRequest;
  /** Happens when the caller leaves. */
  readonly abandonment: Abandonment;
}

/** Takes an answer. Every method but `abort` may be called in the order given only. */
export interface AnswerSink {
  /** Starts an answer that a backend server gave. */
  startAnswer(status: number, headers: Record<string, string | string[]>): void;
  /** Passes a part of the body on; false when the caller cannot keep up. */
  writeChunk(chunk: Buffer): boolean;
  /** Calls back once when the caller has caught up. */
  waitForDrain(callback: () => void): void;
  /** Ends the answer, with trailers where its encoding allows them. */
  endAnswer(trailers: Readonly<Record<string, string | string[]>>): void;
  /** Bytes of the body that were passed on, where the sink counts them. */
  getBytes?(): number;
  /** Breaks the connection so that the caller sees that the answer is not whole. */
  abort(): void;
}

/** What came of an attempt. */
export type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly isCut: boolean;
      /** Answer for the idempotency window, when it was to be kept and was whole. */
      readonly kept?: KeptBody;
    }
  | {readonly kind: 'failed'; readonly failure: AttemptFailure};

/** The answer that was passed on, for repeats. */
export interface KeptBody {
  readonly headerPairs: readonly string[];
  readonly body: Buffer | undefined;
}
