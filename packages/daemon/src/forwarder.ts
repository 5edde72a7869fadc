/**
 * Sends requests to the daemons that own them.
 */
import {Pool} from 'undici';

import {formatUrl} from '@dottereldrift/core/member.js';
import {
  formatMessage,
  getMessageCodes,
  type MessageCode,
} from '@dottereldrift/core/messages.js';
import type {System} from '@dottereldrift/core/system.js';
import type {Address, Outcome} from '@dottereldrift/core/types.js';
import type {
  AttemptFailure,
  Candidate,
  RequestTarget,
} from '@dottereldrift/routing/types.js';

import type {AttemptResult, Exchange} from './exchange.js';
import {
  CALLER_HEADER,
  CODE_HEADER,
  FIRST_GENERATION_HEADER,
  GENERATION_HEADER,
  getHeader,
  type HeaderMap,
  OUTCOME_HEADER,
  PASSED_AUTHORIZATION_HEADER,
  REMAINING_HEADER,
  RETRY_AFTER_MS_HEADER,
  ROUTED_HEADER,
} from './headers.js';
import {parseNumberHeader, sendAttempt} from './http_attempt.js';
import {formatEnvelope, ROUTED_PREFIX} from './routed_exchange_factory.js';

/** Time beyond the deadline in which the owner's own word is awaited. */
const GRACE_MS = 30;
const CONNECT_TIMEOUT_MS = 500;
const MAX_CONNECTIONS = 128;
const KNOWN_CODES: ReadonlySet<string> = new Set(getMessageCodes());

/** Sends requests to other daemons. */
export interface Forwarder {
  /** Sends a request to a daemon and passes its answer on. */
  forward(
    candidate: Candidate,
    exchange: Exchange,
    generation: number,
  ): Promise<AttemptResult>;
  close(): Promise<void>;
}

/** Sends requests to other daemons over HTTP. */
export class HttpForwarder implements Forwarder {
  private readonly pools = new Map<string, Pool>();

  constructor(
    private readonly system: System,
    private readonly peerKey: string,
    /** IP number from which requests leave, so that other hosts see who sends. */
    private readonly localIp: string,
  ) {}

  forward(
    candidate: Candidate,
    exchange: Exchange,
    generation: number,
  ): Promise<AttemptResult> {
    const nowMs = this.system.getNow().monotonicMs;
    const remainingMs = Math.max(0, Math.round(exchange.deadlineAtMs - nowMs));
    const {routed} = exchange;
    return sendAttempt(this.system, {
      dispatcher: this.getPool(candidate.peerAddress),
      peerName: candidate.member.host,
      method: exchange.method,
      path:
        routed === undefined
          ? formatTarget(exchange.target)
          : `${ROUTED_PREFIX}${exchange.target.path}`,
      headers: {
        ...exchange.headers,
        authorization: `Bearer ${this.peerKey}`,
        ...createPassedAuthorization(exchange),
        ...(routed === undefined
          ? {}
          : {
              host: routed.authority,
              [ROUTED_HEADER]: formatEnvelope(exchange.target, exchange.kind, {
                ...routed,
                goalMs: computeGoalLeftMs(routed.goalMs, exchange, nowMs),
              }),
            }),
        [REMAINING_HEADER]: String(remainingMs),
        [CALLER_HEADER]: exchange.caller,
        [GENERATION_HEADER]: String(generation),
        ...createFirstGeneration(exchange),
      },
      body: exchange.body,
      giveUpAtMs: exchange.deadlineAtMs + GRACE_MS,
      deadlineMs: getDeadlineMs(exchange),
      abandonment: exchange.abandonment,
      answer: exchange.answer,
      readFailure: (_status, headers) =>
        readPeerFailure(headers, candidate.member.host, exchange),
      answerHeaders: createAnswerHeaders(exchange, generation),
      keepBytes: 0,
    });
  }

  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
  }

  private getPool(address: Address): Pool {
    const url = formatUrl(address);
    const present = this.pools.get(url);
    if (present !== undefined) return present;
    const pool = new Pool(url, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS, localAddress: this.localIp},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.pools.set(url, pool);
    return pool;
  }
}

/** Returns the path of a target on the peer listener. */
export function formatTarget(target: RequestTarget): string {
  const key =
    target.key === undefined ? '' : `/keys/${encodeURIComponent(target.key)}`;
  return `/services/${target.service}${key}${target.path}`;
}

/** Callers of another protocol get the server's headers only. */
function createAnswerHeaders(
  {routed}: Exchange,
  generation: number,
): Record<string, string> {
  if (routed !== undefined) return {};
  return {
    [OUTCOME_HEADER]: 'completed',
    ...(generation > 0 ? {[GENERATION_HEADER]: String(generation)} : {}),
  };
}

/** Returns what is left of a goal when a request leaves this daemon, in whole milliseconds. */
function computeGoalLeftMs(
  goalMs: number,
  {receivedAt}: Exchange,
  nowMs: number,
): number {
  const waitedMs = nowMs - receivedAt.monotonicMs;
  return Math.max(0, Math.round(goalMs - waitedMs));
}

function getDeadlineMs(exchange: Exchange): number {
  return Math.round(exchange.deadlineAtMs - exchange.receivedAt.monotonicMs);
}

function createPassedAuthorization(exchange: Exchange): Record<string, string> {
  const value = exchange.headers['authorization'];
  return typeof value === 'string'
    ? {[PASSED_AUTHORIZATION_HEADER]: value}
    : {};
}

function createFirstGeneration(exchange: Exchange): Record<string, string> {
  const {firstGeneration} = exchange;
  if (firstGeneration === undefined) return {};
  return {[FIRST_GENERATION_HEADER]: String(firstGeneration)};
}

function readPeerFailure(
  headers: HeaderMap,
  host: string,
  exchange: Exchange,
): AttemptFailure | undefined {
  const outcome = getHeader(headers, OUTCOME_HEADER) as Outcome | undefined;
  if (outcome === 'completed') return undefined;
  const code = getHeader(headers, CODE_HEADER) ?? '';
  const known: MessageCode = KNOWN_CODES.has(code)
    ? (code as MessageCode)
    : 'DD3009';
  return {
    outcome: outcome === 'not-run' ? 'not-run' : 'unknown',
    code: known,
    text: formatMessage(known, {
      host,
      peer: host,
      service: exchange.target.service,
      deadlineMs: getDeadlineMs(exchange),
      reason: `reported by ${host}`,
    }),
    retryAfterMs: parseNumberHeader(headers, RETRY_AFTER_MS_HEADER),
    ownerGeneration: parseNumberHeader(headers, GENERATION_HEADER),
  };
}
