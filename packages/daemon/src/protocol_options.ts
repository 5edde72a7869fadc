/**
 * Headers of a request to a backend server and the interpretation of its response, in the native protocol or
 * in the protocol of a routed request.
 */
import type {SlotRefusal} from '@dottereldrift/limits/types.js';
import type {AttemptFailure} from '@dottereldrift/routing/types.js';

import type {AdmittedRequest} from './admission.js';
import type {AttemptResult, Exchange, RoutedRequest} from './exchange.js';
import {createNotRunFailure, SHORT_RETRY_MS} from './failures.js';
import {
  addHeader,
  GENERATION_HEADER,
  getHeader,
  type HeaderList,
  type HeaderMap,
  OUTCOME_HEADER,
  REFUSED_HEADER,
} from './headers.js';
import type {Attempt} from './http_attempt.js';

/** The parameters of an attempt that depend on the protocol of the backend server. */
export type ProtocolOptions = Pick<
  Attempt,
  | 'headers'
  | 'readFailure'
  | 'answerHeaders'
  | 'maxKeptBytes'
  | 'isForeignAnswer'
  | 'isIdentified'
  | 'mayEndWithConnection'
>;

const COMPLETED_HEADERS = {[OUTCOME_HEADER]: 'completed'};

/** Returns the parameters of an attempt that uses the protocol of a routed request. */
export function createRoutedOptions(
  {exchange, server: {instanceId}}: AdmittedRequest,
  {protocol, requestId, origin, authority}: RoutedRequest,
  remaining: number,
): ProtocolOptions {
  const remainingMs = Math.max(1, Math.floor(remaining));
  return {
    headers: createServerHeaders(
      exchange.headers,
      authority,
      protocol.createServerHeaders({
        requestId,
        origin,
        instanceId,
        remainingMs,
      }),
    ),
    isForeignAnswer: (status, headers) =>
      protocol.isForeignAnswer(status, headers, requestId),
    isIdentified: headers => protocol.isIdentified(headers),
    mayEndWithConnection: true,
    readFailure: (status, headers) =>
      protocol.isServerRefusal(status, headers)
        ? createNotRunFailure('DD3010', SHORT_RETRY_MS)
        : undefined,
    answerHeaders: COMPLETED_HEADERS,
    maxKeptBytes: 0,
  };
}

/** Returns the headers of the request, overridden by those of the protocol. */
function createServerHeaders(
  own: Exchange['headers'],
  authority: string,
  added: Readonly<Record<string, string>>,
): HeaderList {
  const list: HeaderList = ['host', authority];
  for (const name in own) {
    const value = own[name];
    if (value !== undefined && !Object.hasOwn(added, name))
      addHeader(list, name, value);
  }
  for (const name in added) list.push(name, added[name] ?? '');
  return list;
}

/**
 * Fraction of a latency goal that is available to the daemon. The rest is spent between caller and daemon:
 * 8 ms each way, and the shortest latency goal in use is 150 ms.
 */
const GOAL_SHARE = 0.9;

/** Returns the monotonic time of a request's latency goal; undefined when its protocol has none. */
export function getGoalAtMs({
  routed,
  receivedAt,
}: Exchange): number | undefined {
  return routed && receivedAt.monotonicMs + routed.goalMs * GOAL_SHARE;
}

/** Tells whether a server that does not check fencing tokens may still run a request whose response was lost. */
export function mayStillRun(
  exchange: Exchange,
  result: AttemptResult,
): boolean {
  if (exchange.rules.fencing === 'checked') return false;
  return result.kind === 'answered'
    ? result.isTruncated
    : result.failure.outcome === 'unknown';
}

/** Returns the headers added to a response; the generation shows embedded clients that their routes are stale. */
export function createAnswerHeaders({
  slice,
  state,
}: AdmittedRequest): Record<string, string> {
  const outcome = {[OUTCOME_HEADER]: 'completed'};
  if (slice === undefined) return outcome;
  const generation = state.gate.getAssignment()?.generation ?? 0;
  return {...outcome, [GENERATION_HEADER]: String(generation)};
}

/** Reads from the head of a response that the backend server did not run the request. */
export function readServerRefusal(
  _status: number,
  headers: HeaderMap,
): AttemptFailure | undefined {
  if (getHeader(headers, REFUSED_HEADER) !== 'not-run') return undefined;
  return createNotRunFailure('DD3010', SHORT_RETRY_MS);
}

export function createRefusal(
  exchange: Exchange,
  refusal: SlotRefusal,
): AttemptFailure {
  const deadlineMs = Math.round(
    exchange.deadlineAtMs - exchange.receivedAt.monotonicMs,
  );
  const {service} = exchange.target;
  return createNotRunFailure(refusal.code, refusal.retryAfterMs, {
    service,
    host: 'its owner',
    deadlineMs,
  });
}
