/**
 * Forwards requests to the daemons that own them.
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
  addHeader,
  CALLER_HEADER,
  CODE_HEADER,
  FIRST_GENERATION_HEADER,
  GENERATION_HEADER,
  getHeader,
  type HeaderList,
  type HeaderMap,
  OFFER_SHARE_HEADER,
  OFFERED_REQUESTS_HEADER,
  OUTCOME_HEADER,
  FORWARDED_AUTHORIZATION_HEADER,
  REMAINING_HEADER,
  RETRY_AFTER_MS_HEADER,
  ROUTED_HEADER,
} from './headers.js';
import {parseNumberHeader, sendAttempt} from './http_attempt.js';
import {formatEnvelope, ROUTED_PATH_PREFIX} from './routed_exchange_factory.js';

/** Time after the deadline for which the owner's own response is awaited. */
const OWNER_RESPONSE_GRACE_MS = 30;
const CONNECT_TIMEOUT_MS = 500;
const AUTHORIZATION = 'authorization';
const MAX_CONNECTIONS = 128;
const KNOWN_CODES: ReadonlySet<string> = new Set(getMessageCodes());

/** Forwards requests to other daemons. */
export interface Forwarder {
  /** Sends a request to a daemon and relays its response. */
  forward(
    candidate: Candidate,
    exchange: Exchange,
    generation: number,
    /** Number of requests that the offer stands for. */
    offeredRequests?: number,
  ): Promise<AttemptResult>;
  close(): Promise<void>;
}

/** Forwards requests to other daemons over HTTP. */
export class HttpForwarder implements Forwarder {
  private readonly pools = new Map<string, Pool>();
  private readonly authorization: string;

  constructor(
    private readonly system: System,
    peerKey: string,
    /** Source IP address of the requests, so that other hosts see which host sent them. */
    private readonly localIp: string,
  ) {
    this.authorization = `Bearer ${peerKey}`;
  }

  async forward(
    candidate: Candidate,
    exchange: Exchange,
    generation: number,
    offeredRequests = 1,
  ): Promise<AttemptResult> {
    const nowMs = this.system.getNow().monotonicMs;
    const remainingMs = Math.max(0, Math.round(exchange.deadlineAtMs - nowMs));
    const {routed} = exchange;
    let offerShare: number | undefined;
    const headers = this.createHeaders(
      exchange,
      generation,
      remainingMs,
      nowMs,
    );
    if (offeredRequests > 1)
      headers.push(OFFERED_REQUESTS_HEADER, String(offeredRequests));
    const result = await sendAttempt(this.system, {
      dispatcher: this.getPool(candidate.peerAddress),
      peerName: candidate.member.host,
      method: exchange.method,
      path:
        routed === undefined
          ? formatTarget(exchange.target)
          : `${ROUTED_PATH_PREFIX}${exchange.target.path}`,
      headers,
      body: exchange.body,
      expiresAtMs: exchange.deadlineAtMs + OWNER_RESPONSE_GRACE_MS,
      deadlineMs: getDeadlineMs(exchange),
      abandonment: exchange.abandonment,
      answer: exchange.answer,
      readFailure: (_status, answerHeaders) => {
        offerShare = readOfferShare(answerHeaders);
        return readPeerFailure(answerHeaders, candidate.member.host, exchange);
      },
      answerHeaders: createAnswerHeaders(exchange, generation),
      maxKeptBytes: 0,
    });
    if (result.kind === 'answered')
      return offerShare === undefined ? result : {...result, offerShare};
    const {failure} = result;
    return offerShare === undefined
      ? result
      : {kind: 'failed', failure: {...failure, offerShare}};
  }

  /** Returns the headers of the request itself and those that daemons add for each other. */
  private createHeaders(
    exchange: Exchange,
    generation: number,
    remainingMs: number,
    nowMs: number,
  ): HeaderList {
    const {headers, routed, firstGeneration} = exchange;
    const list: HeaderList = [AUTHORIZATION, this.authorization];
    for (const name in headers) {
      const value = headers[name];
      if (value === undefined) continue;
      if (name !== AUTHORIZATION) addHeader(list, name, value);
      else if (typeof value === 'string')
        list.push(FORWARDED_AUTHORIZATION_HEADER, value);
    }
    if (routed !== undefined) {
      const goalMs = computeGoalLeftMs(routed.goalMs, exchange, nowMs);
      const {target, kind} = exchange;
      const envelope = formatEnvelope(target, kind, routed, goalMs);
      list.push('host', routed.authority, ROUTED_HEADER, envelope);
    }
    list.push(REMAINING_HEADER, String(remainingMs));
    list.push(CALLER_HEADER, exchange.caller);
    list.push(GENERATION_HEADER, String(generation));
    if (firstGeneration !== undefined)
      list.push(FIRST_GENERATION_HEADER, String(firstGeneration));
    return list;
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

/** Returns the path of a request target on the peer listener. */
export function formatTarget(target: RequestTarget): string {
  const key =
    target.key === undefined ? '' : `/keys/${encodeURIComponent(target.key)}`;
  return `/services/${target.service}${key}${target.path}`;
}

/** Returns the headers added to a response; callers of another protocol get the backend server's headers only. */
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

/** Returns the part of a latency goal that is left when a request is forwarded, in whole milliseconds. */
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

/** Reads the share of requests that the peer advises to offer to it; 1 if it gives no valid advice. */
function readOfferShare(headers: HeaderMap): number {
  const share = Number(getHeader(headers, OFFER_SHARE_HEADER) ?? 1);
  return share >= 0 && share <= 1 ? share : 1;
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
