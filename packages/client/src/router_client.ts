/**
 * The embeddable client: sends each request straight to the daemon that owns its key, learns new
 * routes when owners change, goes to any other daemon when one is away, and tells the outcome.
 */
import {Agent, type Dispatcher} from 'undici';

import type {Outcome} from '@dottereldrift/core/types.js';

import {isOtherDaemonWorthwhile, mergeOutcome} from './attempt_rules.js';
import {RouteCache} from './route_cache.js';
import {findOwnerAddress} from './route_table.js';
import type {
  ClientFailure,
  ClientRequest,
  ClientResult,
  RequestStamp,
} from './types.js';

/** Options of a client. */
export interface RouterClientOptions {
  /** Addresses of a few daemons for callers, as `ip:port`, to learn the first routes from. */
  readonly seeds: readonly string[];
  /** Connections kept to each daemon. */
  readonly connections?: number;
  /** Source of random numbers from 0 to 1. */
  readonly random?: () => number;
}

const DEFAULT_CONNECTIONS = 32;
const CONNECT_TIMEOUT_MS = 500;
/** Daemons that one request is sent to at most. */
const MAX_DAEMONS = 3;
/** Time beyond the deadline in which the daemon's own word is awaited. */
const GRACE_MS = 50;
const OUTCOMES: ReadonlySet<string> = new Set([
  'completed',
  'not-run',
  'unknown',
]);

/** A client of the fleet. */
export class RouterClient {
  private readonly agent: Agent;
  private readonly routes: RouteCache;
  private readonly random: () => number;

  constructor(private readonly options: RouterClientOptions) {
    this.random = options.random ?? Math.random;
    this.agent = new Agent({
      connections: options.connections ?? DEFAULT_CONNECTIONS,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.routes = new RouteCache(this.agent, service =>
      this.listAddresses(service),
    );
  }

  /** Sends a request. It never rejects: every failure is a result with its outcome. */
  async send(request: ClientRequest): Promise<ClientResult> {
    const endMs = performance.now() + request.deadlineMs;
    const {service} = request;
    if (this.routes.getTable(service) === undefined)
      await this.routes.refresh(service);
    const stamp = request.stamp ?? this.createStamp(service);
    const tried: string[] = [];
    let outcome: Exclude<Outcome, 'completed'> = 'not-run';
    for (;;) {
      const address = this.chooseAddress(request, tried);
      if (address === undefined) return {...failWithoutDaemon(stamp), outcome};
      tried.push(address);
      const result = await this.trySend(request, address, stamp, endMs);
      if (result.outcome === 'completed') return result;
      outcome = mergeOutcome(outcome, result.outcome);
      const isWorthwhile =
        tried.length < MAX_DAEMONS &&
        performance.now() < endMs &&
        request.signal?.aborted !== true &&
        isOtherDaemonWorthwhile(result);
      if (!isWorthwhile) return {...result, outcome};
      await this.routes.refresh(service);
    }
  }

  /** Returns the generation of the routes that are known of a service; 0 when none are. */
  getGeneration(service: string): number {
    return this.routes.getTable(service)?.generation ?? 0;
  }

  /** Ends every connection. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private createStamp(service: string): RequestStamp {
    return {
      firstGeneration: this.getGeneration(service),
      firstSentUnixMs: Date.now(),
    };
  }

  private chooseAddress(
    request: ClientRequest,
    tried: readonly string[],
  ): string | undefined {
    const table = this.routes.getTable(request.service);
    const routingKey =
      table?.division === 'none' ? request.idempotencyKey : request.key;
    const owner =
      table === undefined || routingKey === undefined
        ? undefined
        : findOwnerAddress(table, routingKey);
    if (owner !== undefined && !tried.includes(owner)) return owner;
    const others = this.listAddresses(request.service).filter(
      address => !tried.includes(address),
    );
    return others[Math.floor(this.random() * others.length)];
  }

  private listAddresses(service: string): readonly string[] {
    const known = this.routes.getTable(service)?.daemons ?? [];
    return [...new Set([...known, ...this.options.seeds])];
  }

  private async trySend(
    request: ClientRequest,
    address: string,
    stamp: RequestStamp,
    endMs: number,
  ): Promise<ClientResult> {
    const remainingMs = Math.max(1, Math.round(endMs - performance.now()));
    const timeout = AbortSignal.timeout(remainingMs + GRACE_MS);
    const {signal} = request;
    try {
      const answer = await this.agent.request({
        origin: `http://${address}`,
        path: formatPath(request),
        method: request.method,
        headers: createHeaders(request, stamp, remainingMs),
        body: request.body ?? null,
        signal:
          signal === undefined ? timeout : AbortSignal.any([signal, timeout]),
      });
      return await this.readAnswer(request.service, answer, stamp);
    } catch (error) {
      return failConnection(error, stamp);
    }
  }

  private async readAnswer(
    service: string,
    answer: Dispatcher.ResponseData,
    stamp: RequestStamp,
  ): Promise<ClientResult> {
    const {headers} = answer;
    const body = new Uint8Array(await answer.body.arrayBuffer());
    const generation = readNumber(headers['dottereldrift-generation']);
    if (generation > this.getGeneration(service))
      void this.routes.refresh(service);
    const named = String(headers['dottereldrift-outcome'] ?? '');
    const outcome = (OUTCOMES.has(named) ? named : 'unknown') as Outcome;
    if (outcome === 'completed') {
      const passed = headers as Record<string, string | readonly string[]>;
      return {
        outcome,
        status: answer.statusCode,
        headers: passed,
        body,
        stamp,
      };
    }
    return {
      outcome,
      code: String(headers['dottereldrift-code'] ?? ''),
      text: Buffer.from(body).toString('utf8'),
      retryAfterMs: readNumber(headers['dottereldrift-retry-after-ms']),
      stamp,
    };
  }
}

function formatPath(request: ClientRequest): string {
  const {service, key, path} = request;
  const keyPart = key === undefined ? '' : `/keys/${encodeURIComponent(key)}`;
  return `/services/${service}${keyPart}${path}`;
}

function createHeaders(
  request: ClientRequest,
  stamp: RequestStamp,
  remainingMs: number,
): Record<string, string> {
  const {idempotencyKey} = request;
  return {
    ...request.headers,
    'request-deadline-ms': String(remainingMs),
    ...(idempotencyKey === undefined
      ? {}
      : {
          'idempotency-key': idempotencyKey,
          'request-first-generation': String(stamp.firstGeneration),
          'request-first-sent-unix-ms': String(stamp.firstSentUnixMs),
        }),
  };
}

function readNumber(value: string | string[] | undefined): number {
  const number = Number(value ?? 0);
  return Number.isFinite(number) ? number : 0;
}

/** Errors of undici and the system that come before a byte of the request is written. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
]);

function failConnection(error: unknown, stamp: RequestStamp): ClientResult {
  const code = (error as {readonly code?: string}).code ?? '';
  const outcome = UNSENT_CODES.has(code) ? 'not-run' : 'unknown';
  return {outcome, code: '', text: String(error), retryAfterMs: 0, stamp};
}

function failWithoutDaemon(stamp: RequestStamp): ClientFailure {
  const text = 'No daemon is known.';
  return {outcome: 'not-run', code: '', text, retryAfterMs: 0, stamp};
}
