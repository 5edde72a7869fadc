/** Stand-in of a client: sends requests to the `outbound` address of its machine and records what it is told. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {performance} from 'node:perf_hooks';

export class Caller {
  constructor(outbound, record) {
    [this.host, this.port] = outbound.split(':');
    this.record = record;
    this.agent = new http.Agent({keepAlive: true, maxSockets: 200});
  }

  close() {
    this.agent.destroy();
  }

  /** Sends one request; resolves to what came back. `status` is 0 if the connection ended without an answer. */
  send({method = 'GET', authority, path, deadlineMs, key, body, headers = {}}) {
    const id = randomBytes(8).toString('hex');
    const startedAt = performance.now();
    this.record('sent', {id, method, path, key, bytes: body?.length ?? 0});
    return new Promise(resolve => {
      let isDone = false;
      const finish = result => {
        if (isDone) return;
        isDone = true;
        const tookMs = Math.round(performance.now() - startedAt);
        const {status, seal, isWhole, error, retryAfter} = result;
        this.record('answered', {
          id,
          status,
          seal,
          isWhole,
          error,
          retryAfter,
          tookMs,
        });
        resolve({id, tookMs, ...result});
      };
      const request = http.request(
        {
          host: this.host,
          port: this.port,
          agent: this.agent,
          method,
          path,
          headers: {
            host: authority,
            'request-id': id,
            'deadline-ms': String(deadlineMs),
            ...(key === undefined ? {} : {'shard-key': String(key)}),
            ...(body === undefined ? {} : {'content-length': body.length}),
            ...headers,
          },
        },
        response => {
          const chunks = [];
          const {statusCode: status, headers: found} = response;
          const seal = found['server-seal'];
          const retryAfter = found['retry-after'];
          response.on('data', chunk => chunks.push(chunk));
          response.on('end', () =>
            finish({
              status,
              seal,
              retryAfter,
              isWhole: response.complete,
              text: Buffer.concat(chunks).toString('utf8'),
            }),
          );
          response.on('error', error =>
            finish({status, seal, isWhole: false, error: error.code}),
          );
        },
      );
      request.on('error', error => finish({status: 0, error: error.code}));
      request.setTimeout(deadlineMs + 2_000, () =>
        request.destroy(Object.assign(new Error('timeout'), {code: 'TIMEOUT'})),
      );
      request.end(body);
    });
  }
}
