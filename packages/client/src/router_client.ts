/**
 * The embeddable client. It sends each request directly to the daemon that owns its key, refreshes its routes
 * when owners change, retries on another daemon if one is unreachable, and reports the outcome.
 */
import {Agent, type Dispatcher} from 'undici';

import type {Outcome} from '@dottereldrift/core/types.js';

import {mayRetryOnOtherDaemon, mergeOutcome} from './attempt_rules.js';
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
  /** Caller addresses of some daemons, as `ip:port`, from which the first routes are fetched. */
  readonly seeds: readonly string[];
  /** Maximum number of connections to each daemon. */
  readonly connections?: number;
  /** Returns random numbers in the range [0, 1). */
  readonly random?: () => number;
}

const DEFAULT_CONNECTIONS = 32;
const CONNECT_TIMEOUT_MS = 500;
const MAX_DAEMONS_PER_REQUEST = 3;
/** Time after the deadline to wait for the daemon to report the outcome. */
const OUTCOME_GRACE_MS = 50;
const OUTCOMES: ReadonlySet<string> = new Set([
  'completed',
  'not-run',
  'unknown',
]);

/** Client of a fleet of daemons. */
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

  /** Sends a request. Never rejects: every failure is returned as a result with an outcome. */
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
      if (address === undefined)
        return {...createNoDaemonFailure(stamp), outcome};
      tried.push(address);
      const result = await this.trySend(request, address, stamp, endMs);
      if (result.outcome === 'completed') return result;
      outcome = mergeOutcome(outcome, result.outcome);
      const mayRetry =
        tried.length < MAX_DAEMONS_PER_REQUEST &&
        performance.now() < endMs &&
        request.signal?.aborted !== true &&
        mayRetryOnOtherDaemon(result);
      if (!mayRetry) return {...result, outcome};
      await this.routes.refresh(service);
    }
  }

  /** Returns the generation of the known routes of a service, or 0 if none are known. */
  getGeneration(service: string): number {
    return this.routes.getTable(service)?.generation ?? 0;
  }

  /** Closes all connections. */
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
    const timeout = AbortSignal.timeout(remainingMs + OUTCOME_GRACE_MS);
    const {signal} = request;
    try {
      const response = await this.agent.request({
        origin: `http://${address}`,
        path: formatPath(request),
        method: request.method,
        headers: createHeaders(request, stamp, remainingMs),
        body: request.body ?? null,
        signal:
          signal === undefined ? timeout : AbortSignal.any([signal, timeout]),
      });
      return await this.readResponse(request.service, response, stamp);
    } catch (error) {
      return createConnectionFailure(error, stamp);
    }
  }

  private async readResponse(
    service: string,
    response: Dispatcher.ResponseData,
    stamp: RequestStamp,
  ): Promise<ClientResult> {
    const {headers} = response;
    const body = new Uint8Array(await response.body.arrayBuffer());
    const generation = parseNumber(headers['dottereldrift-generation']);
    if (generation > this.getGeneration(service))
      void this.routes.refresh(service);
    const outcomeHeader = String(headers['dottereldrift-outcome'] ?? '');
    const outcome = (
      OUTCOMES.has(outcomeHeader) ? outcomeHeader : 'unknown'
    ) as Outcome;
    if (outcome === 'completed') {
      const passed = headers as Record<string, string | readonly string[]>;
      return {
        outcome,
        status: response.statusCode,
        headers: passed,
        body,
        stamp,
      };
    }
    return {
      outcome,
      code: String(headers['dottereldrift-code'] ?? ''),
      text: Buffer.from(body).toString('utf8'),
      retryAfterMs: parseNumber(headers['dottereldrift-retry-after-ms']),
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

function parseNumber(value: string | string[] | undefined): number {
  const number = Number(value ?? 0);
  return Number.isFinite(number) ? number : 0;
}

/** Error codes of undici and the system for failures before any byte of the request is written. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
]);

function createConnectionFailure(
  error: unknown,
  stamp: RequestStamp,
): ClientResult {
  const code = (error as {readonly code?: string}).code ?? '';
  const outcome = UNSENT_CODES.has(code) ? 'not-run' : 'unknown';
  return {outcome, code: '', text: String(error), retryAfterMs: 0, stamp};
}

function createNoDaemonFailure(stamp: RequestStamp): ClientFailure {
  const text = 'No daemon is available.';
  return {outcome: 'not-run', code: '', text, retryAfterMs: 0, stamp};
}
