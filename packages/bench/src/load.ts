/**
 * Open-loop load: requests are sent when they are due, whether or not earlier ones were answered, and
 * latency counts from when they were due.
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

/** A load. */
export interface LoadOptions {
  readonly deployment: Deployment;
  /** Base URLs of the daemons. */
  readonly targets: readonly string[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
  readonly keys: number;
}

/** What came of one request. */
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
  /** Deadline of the kind, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the answer names this request. */
  readonly isOwnAnswer: boolean;
  /** Base URL of the daemon that the request was sent to. */
  readonly target?: string;
  /** Host of that daemon, where it is known. */
  readonly entryHost?: string;
  /** What the connection failed with, where it did. */
  readonly fault?: string;
}

type RequestEnd = Pick<
  LoadResult,
  'outcome' | 'code' | 'status' | 'isOwnAnswer' | 'fault'
>;

const TICK_MS = 2;
const CLIENT_CONNECTIONS = 64;
const CLIENT_TIMEOUT_MS = 10_000;

/** Sends a load. */
export class LoadGenerator {
  private readonly results: LoadResult[] = [];
  private readonly random: () => number;
  private readonly agent = new Agent({
    connections: CLIENT_CONNECTIONS,
    pipelining: 1,
  });
  private sent = 0;
  private underWay = 0;

  constructor(private readonly options: LoadOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.random = () => uniformFloat64(generator);
  }

  getResults(): readonly LoadResult[] {
    return this.results;
  }

  getUnderWay(): number {
    return this.underWay;
  }

  /** Sends until the time is over, and waits for the last answers. */
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
    while (this.underWay > 0)
      await new Promise(resolve => setTimeout(resolve, TICK_MS));
    await this.agent.close();
    return this.results;
  }

  private async sendOne(dueAtMs: number): Promise<void> {
    this.underWay += 1;
    this.sent += 1;
    const {seed, targets, keys, deployment} = this.options;
    const plan = this.drawPlan(deployment.traffic);
    const requestId = `${seed}-${this.sent}`;
    const key = plan.isKeyed
      ? `key-${Math.floor(this.random() ** 2 * keys)}`
      : undefined;
    const idempotencyKey = plan.isIdempotent ? undefined : `once-${requestId}`;
    const target = targets[Math.floor(this.random() * targets.length)] ?? '';
    const path = `/services/${plan.service}${key === undefined ? '' : `/keys/${key}`}${plan.path}`;
    const answer = await this.tryRequest(
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
      ...answer,
    });
    this.underWay -= 1;
  }

  private async tryRequest(
    target: string,
    path: string,
    plan: TrafficPlan,
    requestId: string,
    key: string | undefined,
    idempotencyKey: string | undefined,
  ): Promise<RequestEnd> {
    try {
      const answer = await this.agent.request({
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
        signal: AbortSignal.timeout(CLIENT_TIMEOUT_MS),
      });
      const text = await answer.body.text();
      const outcome = (answer.headers['dottereldrift-outcome'] ??
        'unknown') as Outcome;
      return {
        outcome,
        code: String(answer.headers['dottereldrift-code'] ?? ''),
        status: answer.statusCode,
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

  private drawPlan(traffic: readonly TrafficPlan[]): TrafficPlan {
    let draw =
      this.random() * traffic.reduce((sum, plan) => sum + plan.share, 0);
    for (const plan of traffic) {
      draw -= plan.share;
      if (draw < 0) return plan;
    }
    return traffic[traffic.length - 1] as TrafficPlan;
  }
}
