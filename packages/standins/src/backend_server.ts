/**
 * A stand-in for a backend server: registers with the daemon on its host, accepts grants and runs
 * requests in slots, with service times drawn from the system's random source. It records every
 * request that it runs, so that tests check what actually ran instead of what the router reports.
 */
import {openSync, writeSync} from 'node:fs';

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {request as sendRequest} from 'undici';

import {
  createNodeSystem,
  type System,
  waitFor,
} from '@dottereldrift/core/system.js';

import {type GrantBody, GrantTable} from './grant_table.js';

/** Configuration of a simulated backend server. */
export interface BackendServerOptions {
  readonly service: string;
  readonly host: string;
  readonly ip: string;
  readonly port: number;
  /** Base URL of the daemon's listener for backend servers. */
  readonly daemonUrl: string;
  readonly slots: number;
  readonly connections: number;
  /** Median service time, in milliseconds. */
  readonly serviceMs: number;
  /** Fraction of requests that are stragglers, from 0 to 1. */
  readonly stragglerShare: number;
  /** Multiplier of a straggler's service time. */
  readonly stragglerFactor: number;
  /** Whether the server checks the lease and the fencing token of each request. */
  readonly isFencing: boolean;
  /** Time after the start during which the server is slow, in milliseconds. */
  readonly coldMs: number;
  /** File to which a record is appended when a request starts to run; kept in memory when empty. */
  readonly recordsPath: string;
}

/** Record of a request that ran. */
export interface RunRecord {
  readonly service: string;
  readonly host: string;
  readonly key: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly slice: number;
  readonly token: number;
  /** Monotonic time of the host at which the request started to run. */
  readonly startedAtMs: number;
  /** Service time of the request, in milliseconds. */
  readonly serviceMs: number;
}

/** Header in which a load generator sends the ID of a request. */
export const REQUEST_ID_HEADER = 'request-id';
/** Header in which a load generator sets the service time of a request, in milliseconds. */
export const SERVICE_TIME_HEADER = 'service-time-ms';

const ANNOUNCE_INTERVAL_MS = 500;
/** Multiplier of service times during the cold start. */
const COLD_START_FACTOR = 3;
const MAX_RECORDS = 2_000_000;
/** Requests that may wait for a slot; further ones are shed. */
const MAX_WAITING_REQUESTS = 64;

/** A simulated backend server. */
export class BackendServer {
  private readonly app: FastifyInstance;
  private readonly records: RunRecord[] = [];
  private readonly grantTable = new GrantTable();
  private runningCount = 0;
  private readonly slotWaiters: Array<() => void> = [];
  private isLeaving = false;
  private isStopped = false;
  private startedAtMs = 0;
  private readonly recordsFile: number | undefined;

  constructor(
    private readonly options: BackendServerOptions,
    private readonly system: System = createNodeSystem(),
  ) {
    const {recordsPath} = options;
    this.recordsFile =
      recordsPath === '' ? undefined : openSync(recordsPath, 'a');
    this.app = fastify({forceCloseConnections: true, keepAliveTimeout: 65_000});
    this.app.removeAllContentTypeParsers();
    this.app.addContentTypeParser(
      '*',
      {parseAs: 'buffer'},
      (_request, body, done) => {
        done(null, body);
      },
    );
    this.addRoutes();
  }

  async start(): Promise<void> {
    await this.app.listen({host: this.options.ip, port: this.options.port});
    this.startedAtMs = this.system.getNow().monotonicMs;
    void this.announce();
  }

  /**
   * Announces the departure to the daemon, waits for the grace period and for running requests, then
   * unregisters and closes.
   */
  async drain(graceMs: number): Promise<void> {
    this.isLeaving = true;
    await this.sendAnnouncement();
    const endMs = this.system.getNow().monotonicMs + graceMs;
    while (this.system.getNow().monotonicMs < endMs)
      await waitFor(this.system, 20);
    while (this.runningCount > 0) await waitFor(this.system, 20);
    this.isStopped = true;
    await this.tryCallDaemon('DELETE', undefined);
    await this.app.close();
  }

  getRecords(): readonly RunRecord[] {
    return this.records;
  }

  private addRoutes(): void {
    this.app.put('/dottereldrift/grants/:service', (request, reply) => {
      const grant = JSON.parse(String(request.body)) as GrantBody;
      return reply
        .code(this.grantTable.tryAcceptGrant(grant) ? 204 : 409)
        .send();
    });
    this.app.get('/dottereldrift/records', () => this.records);
    this.app.all('/*', (request, reply) => this.serveRequest(request, reply));
  }

  private async serveRequest(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    let hasDisconnected = false;
    request.raw.once('close', () => {
      hasDisconnected = request.raw.destroyed && !reply.raw.writableEnded;
    });
    if (this.runningCount >= this.options.slots) {
      if (this.slotWaiters.length >= MAX_WAITING_REQUESTS)
        return sendRefusal(reply, 'shed');
      await new Promise<void>(resolve => this.slotWaiters.push(resolve));
    }
    if (hasDisconnected || reply.raw.destroyed) {
      this.wakeNext();
      return reply;
    }
    const rejection = this.findFencingRejection(request);
    if (rejection !== undefined) {
      this.wakeNext();
      return sendRefusal(reply, rejection);
    }
    return this.runRequest(request, reply);
  }

  private findFencingRejection(request: FastifyRequest): string | undefined {
    if (!this.options.isFencing) return undefined;
    return this.grantTable.findRejectionReason(
      request.headers,
      this.system.getNow(),
    );
  }

  private async runRequest(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    this.runningCount += 1;
    const serviceMs = this.drawServiceMs(request);
    this.addRecord(request, serviceMs);
    await waitFor(this.system, serviceMs);
    this.runningCount -= 1;
    this.wakeNext();
    const {service, host} = this.options;
    return reply.send({
      service,
      host,
      requestId: getHeader(request, REQUEST_ID_HEADER),
    });
  }

  private addRecord(request: FastifyRequest, serviceMs: number): void {
    const record: RunRecord = {
      service: this.options.service,
      host: this.options.host,
      key: getHeader(request, 'request-key'),
      requestId: getHeader(request, REQUEST_ID_HEADER),
      idempotencyKey: getHeader(request, 'idempotency-key'),
      slice: Number(request.headers['dottereldrift-slice'] ?? -1),
      token: Number(request.headers['dottereldrift-token'] ?? 0),
      startedAtMs: this.system.getNow().monotonicMs,
      serviceMs,
    };
    if (this.recordsFile !== undefined)
      writeSync(this.recordsFile, `${JSON.stringify(record)}\n`);
    else if (this.records.length < MAX_RECORDS) this.records.push(record);
  }

  private wakeNext(): void {
    this.slotWaiters.shift()?.();
  }

  private drawServiceMs(request: FastifyRequest): number {
    const requestedMs = Number(request.headers[SERVICE_TIME_HEADER] ?? NaN);
    const {serviceMs, stragglerShare, stragglerFactor, coldMs} = this.options;
    const isStraggler = this.system.getRandom() < stragglerShare;
    const baseMs = Number.isFinite(requestedMs)
      ? requestedMs
      : serviceMs * (0.5 + this.system.getRandom());
    const uptimeMs = this.system.getNow().monotonicMs - this.startedAtMs;
    const coldFactor = uptimeMs < coldMs ? COLD_START_FACTOR : 1;
    return baseMs * coldFactor * (isStraggler ? stragglerFactor : 1);
  }

  private async announce(): Promise<void> {
    while (!this.isStopped) {
      await this.sendAnnouncement();
      await waitFor(this.system, ANNOUNCE_INTERVAL_MS);
    }
  }

  private async sendAnnouncement(): Promise<void> {
    const {port, slots, connections} = this.options;
    await this.tryCallDaemon('PUT', {
      port,
      slots,
      connections,
      leaving: this.isLeaving,
    });
  }

  private async tryCallDaemon(
    method: 'PUT' | 'DELETE',
    body: unknown,
  ): Promise<void> {
    try {
      const answer = await sendRequest(
        `${this.options.daemonUrl}/servers/${this.options.service}`,
        {
          method,
          ...(body === undefined
            ? {}
            : {
                headers: {'content-type': 'application/json'},
                body: JSON.stringify(body),
              }),
        },
      );
      await answer.body.dump();
    } catch {
      // The daemon is unreachable; the next announcement tries again.
    }
  }
}

function sendRefusal(reply: FastifyReply, reason: string): FastifyReply {
  return reply
    .code(503)
    .header('dottereldrift-refused', 'not-run')
    .send({reason});
}

function getHeader(request: FastifyRequest, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}
