/**
 * Stand-in of an application server as PROTOCOL.md describes it: slots and a queue, heartbeats to the daemon on
 * its machine, keys that it holds, and 421 for what is not its own. It records what it runs.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

const BEAT_ACK_MS = 1_000;
const RELEASE_BEAT_MS = 90;

export class AppServer {
  /** Rows that are held: {from, to, fence, endMs}. */
  holds = [];
  /** Ids of the requests in progress. */
  working = new Set();
  state = 'ready';
  isSendingBeats = true;
  /** Called with each request that is begun, before its work; may answer in place of the server. */
  onBegin = () => false;
  /** Called with each request before it is looked at; returns true if it has been dealt with. */
  onArrival = () => false;
  #seq = 0;
  #queue = [];
  #running = 0;
  #server;
  #timer;
  #freed = [];
  #isStopped = false;
  #highestFences = [];

  constructor({
    service,
    slots = 6,
    queue = 24,
    workMs = 50,
    beatMs = 870,
    record,
  }) {
    this.service = service;
    this.slots = slots;
    this.maxQueued = queue;
    this.workMs = workMs;
    this.beatMs = beatMs;
    this.record = record;
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.born = Date.now();
  }

  async start(ip, port = 0) {
    this.#server = http.createServer((request, response) => {
      const chunks = [];
      const startedAt = performance.now();
      if (this.onArrival(request, response)) return;
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () =>
        this.#receive(request, response, Buffer.concat(chunks), startedAt),
      );
    });
    this.#server.keepAliveTimeout = 10_000;
    await new Promise(resolve => this.#server.listen(port, ip, resolve));
    this.address = `${ip}:${this.#server.address().port}`;
    return this.address;
  }

  startBeats(control) {
    this.control = control;
    void this.#beat();
  }

  stop() {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Sends a heartbeat that is held up on its way; returns the function that lets it arrive. */
  holdUpBeat() {
    this.#seq += 1;
    const body = this.#createBeat([]);
    this.record('beat-held-up', {server: this.id, seq: body.seq});
    return () => this.#call('PUT', body);
  }

  /** Announces the departure without having reported `draining`; returns the status of the answer. */
  async leave() {
    const {status} = await this.#call('DELETE', undefined);
    return status;
  }

  holdsKey(key) {
    const now = performance.now();
    return this.holds.some(
      ({from, to, endMs}) => from <= key && key <= to && now < endMs,
    );
  }

  #receive(request, response, body, startedAt) {
    const id = request.headers['request-id'] ?? '';
    if (request.url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, {
        instance: this.id,
      });
      response.end();
      return;
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.refuse(request, response, 421);
      return;
    }
    const key = request.headers['shard-key'];
    if (key !== undefined && !this.holdsKey(Number(key))) {
      this.refuse(request, response, 421);
      return;
    }
    if (this.#queue.length >= this.maxQueued) {
      this.refuse(request, response, 503);
      return;
    }
    const deadlineMs = Number(request.headers['deadline-ms'] ?? Infinity);
    const item = {
      request,
      response,
      body,
      id,
      key,
      endMs: startedAt + deadlineMs,
    };
    this.#queue.push(item);
    response.once('close', () => {
      item.isGone = true;
    });
    this.#runNext();
  }

  refuse(request, response, status) {
    const id = request.headers['request-id'] ?? '';
    this.record('server-refused', {server: this.id, id, status});
    response.writeHead(status, {
      'not-run': '1',
      'request-id': id,
      'content-length': 0,
      ...(status === 421 ? {instance: this.id} : {}),
    });
    response.end();
  }

  #runNext() {
    while (this.#running < this.slots && this.#queue.length > 0) {
      const item = this.#queue.shift();
      if (item.isGone) continue;
      if (performance.now() > item.endMs) {
        this.refuse(item.request, item.response, 503);
        continue;
      }
      this.#begin(item);
    }
  }

  #begin({request, response, body, id, key}) {
    this.#running += 1;
    this.working.add(id);
    const {caller, host} = request.headers;
    this.record('run', {
      server: this.id,
      service: this.service,
      id,
      method: request.method,
      path: request.url,
      host,
      caller,
      key,
      bytes: body.length,
    });
    const finish = () => {
      this.#running -= 1;
      this.working.delete(id);
      this.#runNext();
    };
    if (this.onBegin({request, response, body, id, finish})) return;
    setTimeout(() => {
      finish();
      this.answer(response, id);
    }, this.workMs);
  }

  answer(response, id, text = `answer to ${id}`) {
    if (response.destroyed) return;
    response.writeHead(200, {
      'request-id': id,
      'server-seal': `seal.${id}`,
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  async #beat() {
    if (this.#isStopped) return;
    let nextMs = this.beatMs;
    if (this.isSendingBeats) {
      const sentAt = performance.now();
      this.#expire(sentAt);
      this.#seq += 1;
      const freed = this.#freed;
      const {status, body} = await this.#call('PUT', this.#createBeat(freed));
      if (status >= 200 && status < 300) {
        this.#freed = this.#freed.slice(freed.length);
        if (Array.isArray(body?.holds)) {
          this.#applyHolds(body.holds, sentAt + body.hold_ms);
          if (this.#freed.length > 0) nextMs = RELEASE_BEAT_MS;
        }
      } else nextMs = Math.min(nextMs, 200);
    }
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => void this.#beat(), nextMs);
  }

  #createBeat(freed) {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone ?? 'z1',
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      seq: this.#seq,
      born: this.born,
      holds: this.holds.map(({from, to, fence}) => [from, to, fence]),
      freed,
    };
  }

  #applyHolds(rows, endMs) {
    const accepted = rows.filter(
      ([from, to, fence]) =>
        !this.#highestFences.some(
          old => old.from <= to && from <= old.to && old.fence > fence,
        ),
    );
    const next = accepted.map(([from, to, fence]) => ({
      from,
      to,
      fence,
      endMs,
    }));
    for (const {from, to} of this.holds) {
      const isKept = next.some(row => row.from <= from && to <= row.to);
      if (!isKept && !next.some(row => row.from <= to && from <= row.to))
        this.#freed.push([from, to, randomBytes(8).toString('hex')]);
    }
    this.holds = next;
    this.#highestFences.push(
      ...next.map(({from, to, fence}) => ({from, to, fence})),
    );
    this.#highestFences = this.#highestFences.slice(-400);
  }

  #expire(now) {
    this.holds = this.holds.filter(({endMs}) => now < endMs);
  }

  #call(method, body) {
    return new Promise(resolve => {
      const [host, port] = this.control.split(':');
      const text = body === undefined ? '' : JSON.stringify(body);
      const request = http.request(
        {
          host,
          port,
          method,
          path: `/instances/${this.id}`,
          timeout: BEAT_ACK_MS,
          agent: false,
          headers:
            text === ''
              ? {}
              : {
                  'content-type': 'application/json',
                  'content-length': Buffer.byteLength(text),
                },
        },
        response => {
          const chunks = [];
          response.on('data', chunk => chunks.push(chunk));
          response.on('end', () => {
            const answer = Buffer.concat(chunks).toString('utf8');
            let parsed;
            try {
              parsed = JSON.parse(answer);
            } catch {
              parsed = undefined;
            }
            this.record(method === 'PUT' ? 'beat' : 'leave', {
              server: this.id,
              status: response.statusCode,
              rows: parsed?.holds?.length,
            });
            resolve({status: response.statusCode, body: parsed});
          });
          response.on('error', () => resolve({status: 0}));
        },
      );
      request.on('timeout', () => request.destroy(new Error('timeout')));
      request.on('error', () => resolve({status: 0}));
      request.end(text);
    });
  }
}
