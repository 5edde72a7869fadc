/**
 * The callers of a virtual deployment. They send requests at random times to random daemons. If the outcome of a
 * request with an idempotency key is unknown, the caller repeats it once with the same key.
 */
import {getDeadlineMs} from '@dottereldrift/bench/deployments.js';
import type {LoadResult} from '@dottereldrift/bench/load.js';
import type {Instant} from '@dottereldrift/core/types.js';
import {AbandonmentSignal} from '@dottereldrift/daemon/abandonment_signal.js';
import type {Exchange} from '@dottereldrift/daemon/exchange.js';

import {createManifest} from './manifest.js';
import type {Script} from './script.js';
import type {VirtualClock} from './virtual_clock.js';
import type {CallerAnswer, VirtualDaemon} from './virtual_daemon.js';
import {
  type CallError,
  type Endpoint,
  type VirtualNetwork,
} from './virtual_network.js';

const MS_PER_SECOND = 1_000;
const IDEMPOTENT_SHARE = 0.5;
/** Share of non-idempotent requests that carry an idempotency key. */
const IDEMPOTENCY_KEY_SHARE = 0.5;
const CALLER_TIMEOUT_MS = 10_000;
const REPEAT_DELAY_MS = 300;

/** A daemon that callers send requests to. */
export interface Target {
  readonly host: string;
  readonly daemon: VirtualDaemon;
}

/** A request as its caller sees it. */
interface CallerRequest {
  readonly requestId: string;
  readonly key: string;
  readonly isIdempotent: boolean;
  readonly idempotencyKey: string | undefined;
  readonly sentAt: Instant;
}

/** Sends requests and records their results. */
export class VirtualTraffic {
  readonly results: LoadResult[] = [];
  private sent = 0;
  /** One in this many requests is for the hot key; 0 for none. */
  private hotOneIn = 0;

  constructor(
    private readonly script: Script,
    private readonly clock: VirtualClock,
    private readonly network: VirtualNetwork,
    private readonly callers: Endpoint,
    private readonly listTargets: () => readonly Target[],
  ) {}

  /** Sends requests for the duration given in the script. */
  start(): void {
    const endMs = this.clock.getElapsedMs() + this.script.durationMs;
    const meanMs = MS_PER_SECOND / this.script.requestsPerSecond;
    const sendNext = () => {
      if (this.clock.getElapsedMs() >= endMs) return;
      void this.sendRequest();
      const delayMs = -Math.log(1 - this.clock.getRandom()) * meanMs;
      this.clock.startTimer(delayMs, sendNext);
    };
    sendNext();
  }

  setHotKey(oneIn: number): void {
    this.hotOneIn = oneIn;
  }

  private async sendRequest(): Promise<void> {
    const request = this.drawRequest();
    const first = this.drawTarget();
    const answer = await this.tryRequest(first, request);
    const answeredAtMs = this.clock.getNow().monotonicMs;
    const isRepeated =
      answer.outcome === 'unknown' && request.idempotencyKey !== undefined;
    if (!isRepeated) {
      this.record(request, first, answer, answeredAtMs);
      return;
    }
    await new Promise<void>(resolve => {
      this.clock.startTimer(REPEAT_DELAY_MS, resolve);
    });
    const second = this.drawTarget();
    const repeated = await this.tryRequest(second, request);
    // A repeat that did not complete does not reveal the outcome of the first attempt.
    if (repeated.outcome === 'completed')
      this.record(request, second, repeated);
    else this.record(request, first, answer, answeredAtMs);
  }

  private drawRequest(): CallerRequest {
    this.sent += 1;
    const requestId = `r${this.sent}`;
    const random = () => this.clock.getRandom();
    const isHot = this.hotOneIn > 0 && random() < 1 / this.hotOneIn;
    const keyIndex = isHot ? 0 : Math.floor(random() * this.script.keys);
    const isIdempotent = random() < IDEMPOTENT_SHARE;
    const hasIdempotencyKey = !isIdempotent && random() < IDEMPOTENCY_KEY_SHARE;
    return {
      requestId,
      key: `key-${keyIndex}`,
      isIdempotent,
      idempotencyKey: hasIdempotencyKey ? `once-${requestId}` : undefined,
      sentAt: this.clock.getNow(),
    };
  }

  private drawTarget(): Target {
    const targets = this.listTargets();
    const index = Math.floor(this.clock.getRandom() * targets.length);
    const target = targets[index];
    if (target === undefined)
      throw new Error('There are no daemons to send requests to.');
    return target;
  }

  private async tryRequest(
    target: Target,
    request: CallerRequest,
  ): Promise<CallerAnswer> {
    const {daemon} = target;
    try {
      return await this.network.call(
        this.callers,
        daemon.endpoint,
        CALLER_TIMEOUT_MS,
        () => this.serve(daemon, request),
      );
    } catch (error) {
      const {failure} = error as CallError;
      const outcome = failure === 'refused' ? 'not-run' : 'unknown';
      const code = failure === 'timeout' ? 'timeout' : 'connection';
      return {outcome, code, status: 0, body: ''};
    }
  }

  private serve(
    daemon: VirtualDaemon,
    request: CallerRequest,
  ): Promise<CallerAnswer> {
    const rules = daemon.getView().getManifest()?.manifest.services[
      this.script.service
    ];
    const kindName = request.isIdempotent ? 'read' : 'write';
    const kind = rules?.kinds.find(other => other.name === kindName);
    if (rules === undefined || kind === undefined) {
      const outcome = 'not-run';
      return Promise.resolve({outcome, code: 'DD3001', status: 0, body: ''});
    }
    return daemon.serveCaller(answer =>
      this.createExchange(request, {rules, kind, answer}),
    );
  }

  private createExchange(
    request: CallerRequest,
    parts: Pick<Exchange, 'rules' | 'kind' | 'answer'>,
  ): Exchange {
    const {key, requestId, idempotencyKey, sentAt} = request;
    const receivedAt = this.clock.getNow();
    return {
      ...parts,
      method: request.isIdempotent ? 'GET' : 'POST',
      target: {service: this.script.service, key, path: '/'},
      headers: {
        'request-id': requestId,
        'request-key': key,
        ...(idempotencyKey === undefined
          ? {}
          : {'idempotency-key': idempotencyKey}),
      },
      body: {kind: 'none'},
      receivedAt,
      deadlineAtMs: receivedAt.monotonicMs + parts.kind.deadlineMs,
      caller: 'callers',
      idempotencyKey,
      firstGeneration: undefined,
      firstSentWallMs: sentAt.wallMs,
      abandonment: new AbandonmentSignal(),
    };
  }

  private record(
    request: CallerRequest,
    target: Target,
    answer: CallerAnswer,
    answeredAtMs = this.clock.getNow().monotonicMs,
  ): void {
    const {requestId, key, isIdempotent, idempotencyKey, sentAt} = request;
    const {outcome, code, status, body} = answer;
    const {service} = this.script;
    const kind = isIdempotent ? 'read' : 'write';
    this.results.push({
      requestId,
      service,
      kind,
      isIdempotent,
      key,
      idempotencyKey,
      outcome,
      code,
      status,
      dueAtMs: sentAt.monotonicMs,
      latencyMs: answeredAtMs - sentAt.monotonicMs,
      deadlineMs: getDeadlineMs(createManifest(service, 0), {service, kind}),
      isOwnAnswer: outcome !== 'completed' || body.includes(`"${requestId}"`),
      entryHost: target.host,
    });
  }
}
