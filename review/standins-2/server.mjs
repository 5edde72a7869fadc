/* global AbortSignal, Buffer, clearTimeout, performance, setTimeout */
// Stand-in of a backend server. It runs requests for the time that their path names, echoes Request-Id, answers 421 to
// a request that expects another instance, and sends heartbeats to the control address of its own machine. A server of
// a service that is divided by key runs a request only while it holds the key.
import http from 'node:http';
import {randomBytes} from 'node:crypto';

export class Server {
  state = 'ready';
  seq = 0;
  holds = [];
  freed = [];
  working = new Map();
  isStopped = false;
  /** Called with each request that the server begins to run: id, headers, key. */
  onRun = () => {};
  /** Called with each answer to a heartbeat. */
  onBeat = () => {};

  constructor({
    service,
    slots = 9,
    isSharded = false,
    beatMs = 1_500,
    log = () => {},
  }) {
    Object.assign(this, {service, slots, isSharded, beatMs, log});
    this.id = `i-${randomBytes(5).toString('hex')}`;
  }

  async start(ip, port) {
    this.born = Date.now();
    this.ip = ip;
    this.port = port;
    this.server = http.createServer((request, response) =>
      this.handle(request, response),
    );
    this.server.keepAliveTimeout = 10_000;
    await new Promise(resolve => this.server.listen(port, ip, resolve));
    this.port = this.server.address().port;
    this.address = `${ip}:${this.port}`;
  }

  /** Starts to send heartbeats to a control address. */
  beatTo(control) {
    this.control = control;
    void this.beatRepeatedly();
  }

  stop() {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  async beatRepeatedly() {
    while (!this.isStopped) {
      const sentAt = performance.now();
      const isReleasing = await this.beat();
      const delay = isReleasing
        ? 50
        : this.beatMs - (performance.now() - sentAt);
      await new Promise(resolve => {
        this.timer = setTimeout(resolve, Math.max(10, delay));
      });
    }
  }

  /** Sends one heartbeat; returns whether keys were released by its answer. */
  async beat() {
    this.seq += 1;
    const sentAt = performance.now();
    const {freed} = this;
    const body = {
      service: this.service,
      address: this.address,
      zone: 'z-a',
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      seq: this.seq,
      born: this.born,
      ...(this.isSharded ? {holds: this.listHolds(sentAt), freed} : {}),
    };
    const answer = await this.call('PUT', body);
    if (this.isStopped) return false;
    this.onBeat(answer);
    if (answer === undefined) return false;
    this.freed = this.freed.slice(freed.length);
    return this.isSharded && this.take(answer, sentAt);
  }

  /** Says that it leaves, without the state draining; resolves to whether that was acknowledged. */
  async leave() {
    return (await this.call('DELETE')) !== undefined;
  }

  call(method, body) {
    return new Promise(resolve => {
      const request = http.request(
        `http://${this.control}/instances/${this.id}`,
        {
          method,
          agent: false,
          headers:
            body === undefined ? {} : {'content-type': 'application/json'},
          signal: AbortSignal.timeout(1_000),
        },
        response => {
          const parts = [];
          response.on('data', part => parts.push(part));
          response.on('error', () => resolve(undefined));
          response.on('end', () => {
            const text = Buffer.concat(parts).toString();
            const isAcknowledged =
              response.statusCode === 200 && text.length <= 4_096;
            resolve(
              isAcknowledged
                ? JSON.parse(text === '' ? '{}' : text)
                : undefined,
            );
          });
        },
      );
      request.on('error', () => resolve(undefined));
      request.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }

  isHeld(key, now = performance.now()) {
    return this.holds.some(
      row => row.from <= key && key <= row.to && row.endsAt > now,
    );
  }

  listHolds(now) {
    const rows = this.holds
      .filter(row => row.endsAt > now)
      .map(({from, to, fence}) => [from, to, fence]);
    for (const [key, {fence, count}] of this.working)
      if (count > 0 && !this.isHeld(key, now)) rows.push([key, key, fence]);
    return rows;
  }

  take({holds, hold_ms: holdMs}, sentAt) {
    if (holds === undefined || holdMs === undefined) return false;
    const endsAt = sentAt + holdMs;
    const next = holds.map(([from, to, fence]) => ({from, to, fence, endsAt}));
    const isKept = row =>
      next.some(({from, to}) => from <= row.from && row.to <= to);
    const left = this.holds.filter(row => !isKept(row));
    this.freed = [
      ...this.freed,
      ...left.map(({from, to}) => [from, to, randomBytes(8).toString('hex')]),
    ];
    this.holds = next;
    return left.length > 0;
  }

  handle(request, response) {
    const {headers} = request;
    const id = String(headers['request-id'] ?? '');
    if (request.url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, {
        instance: this.id,
      });
      response.end();
      return;
    }
    const expected = headers['expect-instance'];
    const key = Number(headers['shard-key'] ?? -1);
    request.resume();
    request.once('end', () => {
      const isOther = expected !== undefined && expected !== this.id;
      const isForeignKey = this.isSharded && !this.isHeld(key);
      if (isOther || isForeignKey) {
        response.writeHead(421, {
          'request-id': id,
          'not-run': '1',
          'content-length': 0,
        });
        response.end();
        return;
      }
      this.onRun({id, headers, key, at: performance.now()});
      const workMs = Number(request.url.split('/')[2] ?? 0);
      setTimeout(() => {
        const body = `body of ${id} by ${this.id}`;
        response.writeHead(200, {
          'request-id': id,
          'server-seal': `seal.${id}.${this.id}`,
          'content-length': Buffer.byteLength(body),
        });
        response.end(body);
      }, workMs);
    });
  }
}
