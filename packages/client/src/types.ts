/**
 * Shapes of the embeddable client: what is asked, and what came of it.
 */
import type {Outcome} from '@dottereldrift/core/types.js';

/** A request to a service. */
export interface ClientRequest {
  readonly service: string;
  /** Key of the ring; absent for a service whose division is `none`. */
  readonly key?: string;
  /** Path and query for the backend server, starting with a slash. */
  readonly path: string;
  readonly method: 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Names a request that is not idempotent, so that a repeat of it does not run again. */
  readonly idempotencyKey?: string;
  /** Time allowed for the request, in milliseconds. */
  readonly deadlineMs: number;
  /** Stamp of the first time it was sent; given when the caller repeats a request. */
  readonly stamp?: RequestStamp;
  readonly signal?: AbortSignal;
}

/** When and under which routes a request was first sent. It belongs to the idempotency key. */
export interface RequestStamp {
  /** Generation of the assignment; 0 when no routes were known. */
  readonly firstGeneration: number;
  /** Milliseconds since the Unix epoch. */
  readonly firstSentUnixMs: number;
}

/** Answer of a backend server. */
export interface ClientAnswer {
  readonly outcome: 'completed';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
  readonly stamp: RequestStamp;
}

/** A request without an answer of a backend server. */
export interface ClientFailure {
  readonly outcome: Exclude<Outcome, 'completed'>;
  /** Code of the message that explains the outcome; empty when the connection failed. */
  readonly code: string;
  readonly text: string;
  /** Time after which a repeat is worth while, in milliseconds. */
  readonly retryAfterMs: number;
  /** To be given with a repeat of the request. */
  readonly stamp: RequestStamp;
}

/** What came of a request. */
export type ClientResult = ClientAnswer | ClientFailure;
