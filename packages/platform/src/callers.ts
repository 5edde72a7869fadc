/**
 * Implements the platform's protocol for callers and backend servers: the headers that accompany method,
 * path and body.
 */
import type {
  CallerProtocol,
  CallerRequest,
  ProblemHead,
  ServerRequest,
} from '@dottereldrift/daemon/caller_protocol.js';
import {getHeader, type HeaderMap} from '@dottereldrift/daemon/headers.js';

const REQUEST_ID_HEADER = 'request-id';
const DEADLINE_HEADER = 'deadline-ms';
const SHARD_KEY_HEADER = 'shard-key';
/** Name of the service whose host the request originates from. */
const CALLER_HEADER = 'caller';
/** Instance identifier of the only server that may run the request. */
const EXPECTED_INSTANCE_HEADER = 'expect-instance';
/** Present when the server did not run the request. */
const NOT_RUN_HEADER = 'not-run';
/** Proves that the body was produced by the server. */
const SERVER_SEAL_HEADER = 'server-seal';

const MS_PER_SECOND = 1_000;
const MISDIRECTED_REQUEST = 421;
const SERVICE_UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
const BAD_GATEWAY = 502;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
/** Statuses passed to the caller unchanged. Others are mapped to whether the request may have run. */
const CLIENT_ERROR_STATUSES: ReadonlySet<number> = new Set([
  400, 404, 413, 431,
]);

/** Parses and formats the headers of the platform's protocol. */
export class PlatformProtocol implements CallerProtocol {
  parseRequest(headers: HeaderMap): CallerRequest {
    const deadlineMs = Number(getHeader(headers, DEADLINE_HEADER));
    const hasDeadline = Number.isFinite(deadlineMs) && deadlineMs > 0;
    return {
      requestId: getHeader(headers, REQUEST_ID_HEADER) ?? '',
      deadlineMs: hasDeadline ? deadlineMs : undefined,
      key: getHeader(headers, SHARD_KEY_HEADER),
    };
  }

  createServerHeaders({
    origin,
    instanceId,
    remainingMs,
  }: ServerRequest): Record<string, string> {
    const headers: Record<string, string> = {
      [CALLER_HEADER]: origin,
      [DEADLINE_HEADER]: String(remainingMs),
    };
    if (instanceId !== undefined)
      headers[EXPECTED_INSTANCE_HEADER] = instanceId;
    return headers;
  }

  isServerRefusal(status: number, headers: HeaderMap): boolean {
    return (
      status === MISDIRECTED_REQUEST ||
      getHeader(headers, NOT_RUN_HEADER) !== undefined
    );
  }

  isIdentified(headers: HeaderMap): boolean {
    return getHeader(headers, REQUEST_ID_HEADER) !== undefined;
  }

  isForeignAnswer(
    status: number,
    headers: HeaderMap,
    requestId: string,
  ): boolean {
    const echoedRequestId = getHeader(headers, REQUEST_ID_HEADER);
    if (echoedRequestId !== undefined && echoedRequestId !== requestId)
      return true;
    if (getHeader(headers, 'content-encoding') !== undefined) return true;
    if (this.isServerRefusal(status, headers)) return false;
    const isSuccess =
      status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
    if (!isSuccess) return echoedRequestId !== requestId && requestId !== '';
    return (
      echoedRequestId === undefined ||
      getHeader(headers, SERVER_SEAL_HEADER) === undefined
    );
  }

  createProblemHead({
    status,
    outcome,
    retryAfterMs,
  }: Parameters<CallerProtocol['createProblemHead']>[0]): ProblemHead {
    if (CLIENT_ERROR_STATUSES.has(status)) return {status, headers: {}};
    if (outcome === 'not-run') {
      const seconds = Math.max(0, retryAfterMs) / MS_PER_SECOND;
      const headers = {'retry-after': seconds.toFixed(3)};
      return {status: SERVICE_UNAVAILABLE, headers};
    }
    return {
      status: status === GATEWAY_TIMEOUT ? GATEWAY_TIMEOUT : BAD_GATEWAY,
      headers: {},
    };
  }
}
