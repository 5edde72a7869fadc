/**
 * A backend server in virtual time: announces itself, takes grants, runs requests in slots and
 * records every one that it runs. Its daemon reaches it through a dispatcher.
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

import type {CallError, Place, VirtualNetwork} from './virtual_network.js';

const ANNOUNCE_INTERVAL_MS = 500;
const SERVICE_MS = 4;
const LONG_SERVICE_MS = 400;
/** Share of requests that run long, so that some are in flight at any moment. */
const LONG_SHARE = 0.25;
const CALL_TIMEOUT_MS = 60_000;
const GRANTS_PATH = '/dottereldrift/grants/';

/** An answer of the server. */
export interface ServerAnswer {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** What the connections of a daemon lead to. */
export interface PoolServer {
  readonly place: Place;
  /** Serves a request or takes a grant. */
  serve(
    path: string,
    headers: RequestHeaders,
    body: string,
  ): Promise<ServerAnswer>;
}

/** What a server is. */
export interface VirtualServerOptions {
  readonly place: Place;
  readonly host: string;
  readonly info: ServerInfo;
  /** Whether it checks grants before it runs a request. */
  readonly isFencing: boolean;
  readonly onRun: (record: RunRecord) => void;
  /** Tells the daemon on the host; undefined takes leave. */
  readonly announce: (info: ServerInfo | undefined) => void;
}

/** A backend server. */
export class VirtualServer implements PoolServer {
  readonly place: Place;
  private readonly grants = new GrantTable();
  private readonly waiting: Array<() => void> = [];
  private running = 0;
  private isLeaving = false;

  constructor(private readonly options: VirtualServerOptions) {
    this.place = options.place;
  }

  start(): void {
    this.announce();
  }

  /** Takes no new work: says so, and stops when nothing runs any more. */
  async drain(graceMs: number): Promise<void> {
    const {process} = this.place;
    this.isLeaving = true;
    this.sendAnnouncement();
    await waitFor(process, graceMs);
    while (this.running > 0) await waitFor(process, ANNOUNCE_INTERVAL_MS / 10);
    this.options.announce(undefined);
    process.kill();
  }

  /** Serves a request or takes a grant. */
  async serve(
    path: string,
    headers: RequestHeaders,
    body: string,
  ): Promise<ServerAnswer> {
    if (path.startsWith(GRANTS_PATH)) {
      const isTaken = this.grants.tryAcceptGrant(JSON.parse(body) as GrantBody);
      return {status: isTaken ? 204 : 409, headers: {}, body: ''};
    }
    if (this.running >= this.options.info.slots)
      await new Promise<void>(resolve => this.waiting.push(resolve));
    const fault = this.options.isFencing
      ? this.grants.findRejectionReason(headers, this.place.process.getNow())
      : undefined;
    if (fault === undefined) return this.runRequest(headers);
    this.waiting.shift()?.();
    return {
      status: 503,
      headers: {'dottereldrift-refused': 'not-run'},
      body: fault,
    };
  }

  private async runRequest(headers: RequestHeaders): Promise<ServerAnswer> {
    const {process} = this.place;
    this.running += 1;
    const isLong = process.getRandom() < LONG_SHARE;
    const meanMs = isLong ? LONG_SERVICE_MS : SERVICE_MS;
    const serviceMs = meanMs * (0.5 + process.getRandom());
    this.options.onRun(this.createRecord(headers, serviceMs));
    await waitFor(process, serviceMs);
    this.running -= 1;
    this.waiting.shift()?.();
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
      startedAtMs: this.place.process.getNow().monotonicMs,
      serviceMs,
    };
  }

  private announce(): void {
    this.sendAnnouncement();
    this.place.process.startTimer(ANNOUNCE_INTERVAL_MS, () => {
      this.announce();
    });
  }

  private sendAnnouncement(): void {
    this.options.announce({...this.options.info, isLeaving: this.isLeaving});
  }
}

/** The connections of a daemon to the server beside it. */
export class VirtualServerPool extends Dispatcher {
  constructor(
    private readonly daemon: Place,
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
    if (this.server.place.process.isRunning())
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
    return this.network.call(this.daemon, server.place, CALL_TIMEOUT_MS, () =>
      server.serve(options.path, headers, body),
    );
  }
}

/** Lets the daemon give a request up. */
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
