/**
 * What a protocol of callers and backend servers says beside HTTP: the headers in which a request names
 * its deadline and key, and in which servers refuse. Daemons serve callers of another protocol than
 * their own through this interface.
 */
import type {ServiceName} from '@dottereldrift/core/types.js';

import type {Problem} from './answer_writer.js';
import type {HeaderMap} from './headers.js';

/** What a caller asks for, beside method, path and body. */
export interface CallerRequest {
  /** Name of the request; empty when the caller gives none. */
  readonly requestId: string;
  /** Milliseconds that the caller waits; undefined when it does not say. */
  readonly deadlineMs: number | undefined;
  /** Key that decides the owner; undefined when there is none. */
  readonly key: string | undefined;
}

/** What a backend server is told with a request. */
export interface ServerRequest {
  readonly requestId: string;
  /** Service on whose host the request began. */
  readonly origin: ServiceName;
  /** Server that is meant; undefined when servers do not name themselves. */
  readonly instanceId: string | undefined;
  /** Milliseconds until the answer is of no use. */
  readonly remainingMs: number;
}

/** Head of an answer that the daemon gives itself. */
export interface ProblemHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** The protocol of callers and backend servers. */
export interface CallerProtocol {
  /** Reads what a caller asks for. */
  parseRequest(headers: HeaderMap): CallerRequest;
  /** Returns the headers that a backend server expects; they replace those of the caller. */
  createServerHeaders(request: ServerRequest): Record<string, string>;
  /** Tells whether a server's answer says that it did not run the request. */
  isServerRefusal(status: number, headers: HeaderMap): boolean;
  /** Tells whether an answer cannot be the server's answer to the request named. */
  isForeignAnswer(
    status: number,
    headers: HeaderMap,
    requestId: string,
  ): boolean;
  /** Returns the head of the answer that tells a caller of a failure. */
  createProblemHead(
    problem: Pick<Problem, 'status' | 'outcome' | 'retryAfterMs'>,
  ): ProblemHead;
}
