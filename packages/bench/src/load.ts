/**
 * Generates open-loop load: requests are sent when they are due, whether or not earlier ones have completed,
 * and latency is measured from the due time.
 */
import {Agent, type Dispatcher} from 'undici';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

import {getErrorText} from '@dottereldrift/core/errors.js';
import type {Outcome} from '@dottereldrift/core/types.js';

import {
  type Deployment,
  getDeadlineMs,
  type TrafficPlan,
} from './deployments.js';

/** Options of a load generator. */
export interface LoadOptions {
  readonly deployment: Deployment;
  /** Base URLs of the daemons. */
  readonly targets: readonly string[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
  readonly keys: number;
}

/** The result of one request as its caller saw it. */
export interface LoadResult {
  readonly requestId: string;
  readonly service: string;
  readonly kind: string;
  readonly isIdempotent: boolean;
  readonly key: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly outcome: Outcome;
  readonly code: string;
  readonly status: number;
  readonly dueAtMs: number;
  readonly latencyMs: number;
  /** Deadline of the request kind, in milliseconds. */
  readonly deadlineMs: number;
  /** False if a completed request received a response that does not contain its request ID. */
  readonly isOwnAnswer: boolean;
  /** Base URL of the daemon to which the request was sent. */
  readonly target?: string;
  /** Host of that daemon, if known. */
  readonly entryHost?: string;
  /** Error of the connection, if it failed. */
  readonly fault?: string;
}

type RequestOutcome = Pick<
  LoadResult,
  'outcome' | 'code' | 'status' | 'isOwnAnswer' | 'fault'
>;

const TICK_MS = 2;
const MAX_CONNECTIONS = 64;
const REQUEST_TIMEOUT_MS = 10_000;

/** Sends seeded random requests at a fixed average rate and collects their results. */
export class LoadGenerator {
  private readonly results: LoadResult[] = [];
  private readonly random: () => number;
  private readonly agent = new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
  });
  private sentCount = 0;
  private inFlight = 0;

  constructor(private readonly options: LoadOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
  }

  getResults(): readonly LoadResult[] {
    return this.results;
  }

  getInFlight(): number {
    return this.inFlight;
  }

  /** Sends requests for the configured duration, then waits for the outstanding ones. */
  async run(): Promise<readonly LoadResult[]> {
    const {requestsPerSecond, durationMs} = this.options;
    const startMs = performance.now();
    const intervalMs = 1_000 / requestsPerSecond;
    let dueMs = startMs;
    while (dueMs < startMs + durationMs) {
      while (dueMs <= performance.now() && dueMs < startMs + durationMs) {
        void this.sendOne(dueMs);
        dueMs += -Math.log(1 - this.random()) * intervalMs;
      }
      await new Promise(resolve => setTimeout(resolve, TICK_MS));
    }
    while (this.inFlight > 0)
      await new Promise(resolve => setTimeout(resolve, TICK_MS));
    await this.agent.close();
    return this.results;
  }

  private async sendOne(dueAtMs: number): Promise<void> {
    this.inFlight += 1;
    this.sentCount += 1;
    const {seed, targets, keys, deployment} = this.options;
    const plan = this.drawTrafficPlan(deployment.traffic);
    const requestId = `${seed}-${this.sentCount}`;
    const key = plan.isKeyed
      ? `key-${Math.floor(this.random() ** 2 * keys)}`
      : undefined;
    const idempotencyKey = plan.isIdempotent ? undefined : `once-${requestId}`;
    const target = targets[Math.floor(this.random() * targets.length)] ?? '';
    const path = `/services/${plan.service}${key === undefined ? '' : `/keys/${key}`}${plan.path}`;
    const requestOutcome = await this.tryRequest(
      target,
      path,
      plan,
      requestId,
      key,
      idempotencyKey,
    );
    this.results.push({
      requestId,
      service: plan.service,
      kind: plan.kind,
      isIdempotent: plan.isIdempotent,
      key,
      idempotencyKey,
      target,
      dueAtMs,
      latencyMs: performance.now() - dueAtMs,
      deadlineMs: getDeadlineMs(deployment.manifest, plan),
      ...requestOutcome,
    });
    this.inFlight -= 1;
  }

  private async tryRequest(
    target: string,
    path: string,
    plan: TrafficPlan,
    requestId: string,
    key: string | undefined,
    idempotencyKey: string | undefined,
  ): Promise<RequestOutcome> {
    try {
      const response = await this.agent.request({
        origin: target,
        path,
        method: plan.method as Dispatcher.HttpMethod,
        headers: {
          'request-id': requestId,
          'request-key': key ?? '',
          ...(idempotencyKey === undefined
            ? {}
            : {
                'idempotency-key': idempotencyKey,
                'request-first-sent-unix-ms': String(Date.now()),
              }),
        },
        body: plan.method === 'POST' ? `{"request":"${requestId}"}` : null,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const text = await response.body.text();
      const outcome = (response.headers['dottereldrift-outcome'] ??
        'unknown') as Outcome;
      return {
        outcome,
        code: String(response.headers['dottereldrift-code'] ?? ''),
        status: response.statusCode,
        isOwnAnswer: outcome !== 'completed' || text.includes(`"${requestId}"`),
      };
    } catch (error) {
      const isRefused =
        (error as {readonly code?: string}).code === 'ECONNREFUSED';
      const outcome = isRefused ? 'not-run' : 'unknown';
      const fault = getErrorText(error);
      return {outcome, code: 'connection', status: 0, isOwnAnswer: true, fault};
    }
  }

  private drawTrafficPlan(traffic: readonly TrafficPlan[]): TrafficPlan {
    let draw =
      this.random() * traffic.reduce((sum, plan) => sum + plan.share, 0);
    for (const plan of traffic) {
      draw -= plan.share;
      if (draw < 0) return plan;
    }
    return traffic[traffic.length - 1] as TrafficPlan;
  }
}
