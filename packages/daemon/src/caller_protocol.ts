/**
 * Interface to a protocol of callers and backend servers on top of HTTP: the headers that carry the deadline
 * and the key of a request, and those with which backend servers refuse one. It lets daemons serve callers
 * that use a protocol other than the daemons' own.
 */
import type {ServiceName} from '@dottereldrift/core/types.js';

import type {Problem} from './answer_writer.js';
import type {HeaderMap} from './headers.js';

/** The fields of a caller's request that its headers carry. */
export interface CallerRequest {
  /** Identifier of the request; empty when the caller sends none. */
  readonly requestId: string;
  /** Time that the caller waits; undefined when it sends none. */
  readonly deadlineMs: number | undefined;
  /** Key that determines the owner; undefined when there is none. */
  readonly key: string | undefined;
}

/** Fields that the headers of a request to a backend server carry. */
export interface ServerRequest {
  readonly requestId: string;
  /** Service of the host on which the request entered the fleet. */
  readonly origin: ServiceName;
  /** Identifier of the intended server; undefined when servers do not identify themselves. */
  readonly instanceId: string | undefined;
  /** Time left until the caller stops waiting. */
  readonly remainingMs: number;
}

/** Status and headers of a problem response. */
export interface ProblemHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** The protocol of callers and backend servers. */
export interface CallerProtocol {
  /** Parses the headers of a caller's request. */
  parseRequest(headers: HeaderMap): CallerRequest;
  /** Creates the headers that a backend server expects; they override those of the caller. */
  createServerHeaders(request: ServerRequest): Record<string, string>;
  /** Returns whether a backend server's response means that it did not run the request. */
  isServerRefusal(status: number, headers: HeaderMap): boolean;
  /** Returns whether a response names the request that it belongs to. */
  isIdentified(headers: HeaderMap): boolean;
  /** Returns whether a response cannot belong to the given request of this server. */
  isForeignAnswer(
    status: number,
    headers: HeaderMap,
    requestId: string,
  ): boolean;
  /** Creates the status and headers of the response that reports a failure to a caller. */
  createProblemHead(
    problem: Pick<Problem, 'status' | 'outcome' | 'retryAfterMs'>,
  ): ProblemHead;
}
