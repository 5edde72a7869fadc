/**
 * Request and result types of the embeddable client.
 */
import type {Outcome} from '@dottereldrift/core/types.js';

/** A request to a service. */
export interface ClientRequest {
  readonly service: string;
  /** Key that determines the owner on the ring; absent for a service whose division is `none`. */
  readonly key?: string;
  /** Path and query sent to the backend server, starting with a slash. */
  readonly path: string;
  readonly method: 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Identifies a request that is not idempotent, so that a duplicate of it does not run again. */
  readonly idempotencyKey?: string;
  /** Deadline relative to the time of sending, in milliseconds. */
  readonly deadlineMs: number;
  /** Stamp from the result of the first attempt; set when the caller retries a request. */
  readonly stamp?: RequestStamp;
  readonly signal?: AbortSignal;
}

/** Time and route generation of the first attempt. It belongs to the idempotency key. */
export interface RequestStamp {
  /** Generation of the assignment, or 0 if no routes were known. */
  readonly firstGeneration: number;
  /** Milliseconds since the Unix epoch. */
  readonly firstSentUnixMs: number;
}

/** Response of a backend server. */
export interface ClientAnswer {
  readonly outcome: 'completed';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  readonly body: Uint8Array;
  readonly stamp: RequestStamp;
}

/** Result of a request without a response of a backend server. */
export interface ClientFailure {
  readonly outcome: Exclude<Outcome, 'completed'>;
  /** Code of the message that explains the outcome; empty if the connection failed. */
  readonly code: string;
  readonly text: string;
  /** Time to wait before a retry, in milliseconds. */
  readonly retryAfterMs: number;
  /** Stamp to pass with a retry of the request. */
  readonly stamp: RequestStamp;
}

/** Result of a request. */
export type ClientResult = ClientAnswer | ClientFailure;
