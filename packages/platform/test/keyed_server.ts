/**
 * Fake backend server of a service that is divided by key. It runs requests only on keys that it holds, takes them
 * from the responses to its heartbeats, and releases what a response leaves out.
 */
import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';

import {type KeyRecords, SAMPLED_KEYS} from './key_records.js';
import {waitFor} from './store_drill.js';

const KEY_COUNT = 65_536;
const HEARTBEAT_INTERVAL_MS = 400;
/** A heartbeat that is not answered within this time has failed. */
const HEARTBEAT_LIMIT_MS = 1_000;
/** Delay of the heartbeat that reports a release. */
const REPORT_DELAY_MS = 20;
const SLOTS = 12;
const NONE = -1;
const MAX_ANSWER_BYTES = 4_096;
const DRAIN_MS = 2_000;
const HANDOVER_BYTES = 8;

type HeldRow = readonly [number, number, number];

interface Grant {
  readonly holds?: ReadonlyArray<readonly [number, number, number, string]>;
  readonly hold_ms?: number;
}

/** A server that obeys grants. */
export class KeyedServer {
  readonly id = `i-${randomBytes(4).toString('hex')}`;
  private readonly server: http.Server;
  private readonly bornAtMs = Date.now();
  /** Token under which each key is held. */
  private readonly tokens = new Float64Array(KEY_COUNT).fill(NONE);
  private readonly ends = new Float64Array(KEY_COUNT);
  /** Highest token seen on each key. */
  private readonly highest = new Float64Array(KEY_COUNT).fill(NONE);
  /** Requests at work on a key, with the token under which it was held. */
  private readonly working = new Map<number, {token: number; count: number}>();
  private freed: ReadonlyArray<readonly [number, number, string]> = [];
  private timer: NodeJS.Timeout | undefined;
  private sequence = 0;
  private state: 'ready' | 'draining' = 'ready';
  private isStopped = false;
  private isLeavingAcknowledged = false;
  private address = '';
  private control = '';

  constructor(
    private readonly service: string,
    private readonly records: KeyRecords,
  ) {
    this.server = http.createServer((request, response) => {
      this.handleRequest(request, response);
    });
  }

  async start(ip: string): Promise<string> {
    this.server.listen(0, ip);
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `${ip}:${port}`;
  }

  /** Sends a heartbeat now and then periodically to a daemon. */
  sendHeartbeats(address: string, control: string): void {
    this.address = address;
    this.control = control;
    void this.sendRepeatedly();
  }

  /** Announces that it leaves, serves until its drain time is over, and ends. */
  async drain(): Promise<void> {
    this.state = 'draining';
    while (!this.isLeavingAcknowledged) await waitFor(REPORT_DELAY_MS);
    await waitFor(DRAIN_MS);
    await this.call('DELETE');
    this.stop();
  }

  stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    clearTimeout(this.timer);
    this.server.close();
    this.server.closeAllConnections();
    const nowMs = performance.now();
    for (const key of SAMPLED_KEYS)
      this.records.recordRelease(key, this.id, nowMs);
  }

  private async sendRepeatedly(): Promise<void> {
    while (!this.isStopped) {
      const sentAtMs = performance.now();
      const hasReleased = await this.sendHeartbeat(sentAtMs);
      const delayMs = hasReleased
        ? REPORT_DELAY_MS
        : sentAtMs + HEARTBEAT_INTERVAL_MS - performance.now();
      await new Promise(resolve => {
        this.timer = setTimeout(resolve, Math.max(0, delayMs));
      });
    }
  }

  /** Sends one heartbeat; returns whether keys were released. */
  private async sendHeartbeat(sentAtMs: number): Promise<boolean> {
    this.sequence += 1;
    const {freed, state} = this;
    const answer = await this.call('PUT', {
      service: this.service,
      address: this.address,
      zone: 'z1',
      version: 'v1',
      slots: SLOTS,
      state,
      cold_left_ms: 0,
      seq: this.sequence,
      born: this.bornAtMs,
      holds: this.listHeld(sentAtMs),
      freed,
    });
    if (answer === undefined || this.isStopped) return false;
    if (state === 'draining') this.isLeavingAcknowledged = true;
    this.freed = this.freed.slice(freed.length);
    return this.takeGrant(answer, sentAtMs);
  }

  /** Lists the keys that are held or worked on, as rows of first key, last key and token. */
  private listHeld(nowMs: number): readonly HeldRow[] {
    const rows: Array<[number, number, number]> = [];
    for (let key = 0; key < KEY_COUNT; key += 1) {
      const token = this.isHeld(key, nowMs)
        ? (this.tokens[key] ?? NONE)
        : (this.working.get(key)?.token ?? NONE);
      if (token === NONE) continue;
      const last = rows.at(-1);
      if (last !== undefined && last[1] === key - 1 && last[2] === token)
        last[1] = key;
      else rows.push([key, key, token]);
    }
    return rows;
  }

  private isHeld(key: number, nowMs: number): boolean {
    return this.tokens[key] !== NONE && (this.ends[key] ?? 0) > nowMs;
  }

  /** Takes and releases keys; returns whether any was released. */
  private takeGrant(
    {holds, hold_ms: holdMs}: Grant,
    sentAtMs: number,
  ): boolean {
    const nowMs = performance.now();
    if (holds === undefined || holdMs === undefined) return false;
    const endMs = sentAtMs + holdMs;
    if (endMs <= nowMs) return false;
    const granted = new Float64Array(KEY_COUNT).fill(NONE);
    for (const [first, last, token] of holds) {
      const seen = this.highest.subarray(first, last + 1);
      if (seen.some(highest => highest > token)) continue;
      granted.fill(token, first, last + 1);
      seen.fill(token);
    }
    const released: number[] = [];
    for (let key = 0; key < KEY_COUNT; key += 1) {
      const token = granted[key] ?? NONE;
      if (token === NONE) {
        if (this.isHeld(key, nowMs)) released.push(key);
        this.tokens[key] = NONE;
      } else {
        this.tokens[key] = token;
        this.ends[key] = endMs;
      }
    }
    for (const key of SAMPLED_KEYS) {
      const token = granted[key] ?? NONE;
      if (token === NONE) this.records.recordRelease(key, this.id, nowMs);
      else this.records.recordGrant(key, this.id, token, nowMs, endMs);
    }
    this.recordFreed(released);
    return released.length > 0 || this.working.size > 0;
  }

  private recordFreed(released: readonly number[]): void {
    const rows: Array<[number, number, string]> = [];
    for (const key of released) {
      const last = rows.at(-1);
      if (last !== undefined && last[1] === key - 1) last[1] = key;
      else rows.push([key, key, randomBytes(HANDOVER_BYTES).toString('hex')]);
    }
    this.freed = [...this.freed, ...rows];
  }

  private handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    request.resume();
    request.once('end', () => {
      const {headers} = request;
      const requestId = String(headers['request-id'] ?? '');
      const expected = headers['expect-instance'];
      const key = Number(headers['shard-key']);
      const nowMs = performance.now();
      const isOther = expected !== undefined && expected !== this.id;
      if (isOther || !this.isHeld(key, nowMs)) {
        response.writeHead(421, {'request-id': requestId, 'not-run': '1'});
        response.end();
        return;
      }
      this.records.recordRun(key, this.id, nowMs);
      const work = this.working.get(key) ?? {
        token: this.tokens[key] ?? NONE,
        count: 0,
      };
      work.count += 1;
      this.working.set(key, work);
      const workMs = Number(request.url?.split('/')[2] ?? 0);
      setTimeout(() => {
        work.count -= 1;
        if (work.count === 0) this.working.delete(key);
        response.writeHead(200, {
          'request-id': requestId,
          'server-seal': `seal.${requestId}`,
          'content-length': 2,
        });
        response.end('ok');
      }, workMs);
    });
  }

  /** Calls the daemon; returns its answer, or undefined if there was no acknowledgement. */
  private call(method: string, body?: object): Promise<Grant | undefined> {
    return new Promise(resolve => {
      const request = http.request(
        `http://${this.control}/instances/${this.id}`,
        {
          method,
          agent: false,
          headers: {'content-type': 'application/json'},
          signal: AbortSignal.timeout(HEARTBEAT_LIMIT_MS),
        },
        response => {
          const parts: Buffer[] = [];
          response.on('data', (part: Buffer) => parts.push(part));
          response.on('error', () => resolve(undefined));
          response.on('end', () => {
            const text = Buffer.concat(parts);
            const isAcknowledged =
              response.statusCode === 200 && text.length <= MAX_ANSWER_BYTES;
            resolve(
              isAcknowledged
                ? (JSON.parse(text.toString('utf8')) as Grant)
                : undefined,
            );
          });
        },
      );
      request.on('error', () => resolve(undefined));
      request.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }
}
