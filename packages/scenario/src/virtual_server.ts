/**
 * A backend server in virtual time: announces itself, accepts grants, runs requests in slots and records each run.
 * Its daemon connects to it through an undici dispatcher.
 */
import {Dispatcher} from 'undici';

import {waitFor} from '@dottereldrift/core/system.js';
import type {ServerInfo} from '@dottereldrift/membership/types.js';
import type {RunRecord} from '@dottereldrift/standins/backend_server.js';
import {
  type GrantBody,
  GrantTable,
  type RequestHeaders,
} from '@dottereldrift/standins/grant_table.js';

import type {CallError, Endpoint, VirtualNetwork} from './virtual_network.js';

const ANNOUNCE_INTERVAL_MS = 500;
const SERVICE_MS = 4;
const LONG_SERVICE_MS = 400;
/** Share of long requests, so that some are in flight at any time. */
const LONG_SERVICE_SHARE = 0.25;
const CALL_TIMEOUT_MS = 60_000;
const GRANTS_PATH = '/dottereldrift/grants/';

/** An HTTP answer of the server. */
export interface ServerAnswer {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** A server that a daemon can connect to. */
export interface PoolServer {
  readonly endpoint: Endpoint;
  /** Handles a request, or a grant sent by the daemon. */
  serve(
    path: string,
    headers: RequestHeaders,
    body: string,
  ): Promise<ServerAnswer>;
}

/** Identity of a server and its connections to the simulation. */
export interface VirtualServerOptions {
  readonly endpoint: Endpoint;
  readonly host: string;
  readonly info: ServerInfo;
  /** Whether the server checks the fencing token and grant of a request before it runs it. */
  readonly isFencing: boolean;
  readonly onRun: (record: RunRecord) => void;
  /** Announces the server to the daemon on its host; undefined announces its end. */
  readonly announce: (info: ServerInfo | undefined) => void;
}

/** A simulated backend server with a fixed number of slots. */
export class VirtualServer implements PoolServer {
  readonly endpoint: Endpoint;
  private readonly grants = new GrantTable();
  private readonly slotWaiters: Array<() => void> = [];
  private runningRequests = 0;
  private isLeaving = false;

  constructor(private readonly options: VirtualServerOptions) {
    this.endpoint = options.endpoint;
  }

  start(): void {
    this.announce();
  }

  /** Announces that the server is leaving and, after `graceMs`, ends it once no request is running. */
  async drain(graceMs: number): Promise<void> {
    const {process} = this.endpoint;
    this.isLeaving = true;
    this.sendAnnouncement();
    await waitFor(process, graceMs);
    while (this.runningRequests > 0)
      await waitFor(process, ANNOUNCE_INTERVAL_MS / 10);
    this.options.announce(undefined);
    process.kill();
  }

  /** Handles a request, or a grant sent by the daemon. */
  async serve(
    path: string,
    headers: RequestHeaders,
    body: string,
  ): Promise<ServerAnswer> {
    if (path.startsWith(GRANTS_PATH)) {
      const isTaken = this.grants.tryAcceptGrant(JSON.parse(body) as GrantBody);
      return {status: isTaken ? 204 : 409, headers: {}, body: ''};
    }
    if (this.runningRequests >= this.options.info.slots)
      await new Promise<void>(resolve => this.slotWaiters.push(resolve));
    const refusal = this.options.isFencing
      ? this.grants.findRejectionReason(headers, this.endpoint.process.getNow())
      : undefined;
    if (refusal === undefined) return this.runRequest(headers);
    this.slotWaiters.shift()?.();
    return {
      status: 503,
      headers: {'dottereldrift-refused': 'not-run'},
      body: refusal,
    };
  }

  private async runRequest(headers: RequestHeaders): Promise<ServerAnswer> {
    const {process} = this.endpoint;
    this.runningRequests += 1;
    const isLong = process.getRandom() < LONG_SERVICE_SHARE;
    const meanMs = isLong ? LONG_SERVICE_MS : SERVICE_MS;
    const serviceMs = meanMs * (0.5 + process.getRandom());
    this.options.onRun(this.createRecord(headers, serviceMs));
    await waitFor(process, serviceMs);
    this.runningRequests -= 1;
    this.slotWaiters.shift()?.();
    const requestId = getText(headers, 'request-id');
    const body = JSON.stringify({requestId});
    const length = String(Buffer.byteLength(body));
    return {status: 200, headers: {'content-length': length}, body};
  }

  private createRecord(headers: RequestHeaders, serviceMs: number): RunRecord {
    return {
      service: this.options.info.service,
      host: this.options.host,
      key: getText(headers, 'request-key'),
      requestId: getText(headers, 'request-id'),
      idempotencyKey: getText(headers, 'idempotency-key'),
      slice: Number(headers['dottereldrift-slice'] ?? -1),
      token: Number(headers['dottereldrift-token'] ?? 0),
      startedAtMs: this.endpoint.process.getNow().monotonicMs,
      serviceMs,
    };
  }

  private announce(): void {
    this.sendAnnouncement();
    this.endpoint.process.startTimer(ANNOUNCE_INTERVAL_MS, () => {
      this.announce();
    });
  }

  private sendAnnouncement(): void {
    this.options.announce({...this.options.info, isLeaving: this.isLeaving});
  }
}

/** Connection pool from a daemon to the server on its host. */
export class VirtualServerPool extends Dispatcher {
  constructor(
    private readonly daemon: Endpoint,
    private readonly network: VirtualNetwork,
    private readonly server: PoolServer,
  ) {
    super();
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const controller = new VirtualController();
    if (this.server.endpoint.process.isRunning())
      handler.onRequestStart?.(controller, {});
    controller.onAbort = error => handler.onResponseError?.(controller, error);
    if (controller.aborted) {
      controller.onAbort(controller.reason ?? new Error('aborted'));
      return true;
    }
    this.sendRequest(options).then(
      answer => {
        if (controller.aborted) return;
        const body = Buffer.from(answer.body);
        const headers = {
          ...answer.headers,
          'content-length': String(body.byteLength),
        };
        handler.onResponseStart?.(controller, answer.status, headers);
        handler.onResponseData?.(controller, body);
        handler.onResponseEnd?.(controller, {});
      },
      (error: CallError) => {
        if (!controller.aborted) handler.onResponseError?.(controller, error);
      },
    );
    return true;
  }

  override async request(
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData> {
    const answer = await this.sendRequest(options);
    const body = {dump: () => Promise.resolve()};
    return {
      statusCode: answer.status,
      headers: answer.headers,
      body,
    } as unknown as Dispatcher.ResponseData;
  }

  override destroy(): Promise<void> {
    return Promise.resolve();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  private sendRequest(options: {
    readonly path: string;
    readonly headers?: unknown;
    readonly body?: unknown;
  }): Promise<ServerAnswer> {
    const {server} = this;
    const headers = (options.headers ?? {}) as RequestHeaders;
    const body = typeof options.body === 'string' ? options.body : '';
    return this.network.call(
      this.daemon,
      server.endpoint,
      CALL_TIMEOUT_MS,
      () => server.serve(options.path, headers, body),
    );
  }
}

/** Lets the daemon abort a request. */
class VirtualController implements Dispatcher.DispatchController {
  aborted = false;
  paused = false;
  reason: Error | null = null;
  rawHeaders = null;
  rawTrailers = null;
  onAbort: (error: Error) => void = () => {};

  abort(reason: Error): void {
    if (this.aborted) return;
    this.aborted = true;
    this.reason = reason;
    this.onAbort(reason);
  }

  pause(): void {
    this.paused = true;
  }

  resume(): void {
    this.paused = false;
  }
}

function getText(headers: RequestHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}
