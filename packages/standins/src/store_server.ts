/**
 * A stand-in for the platform's object store: serves the in-memory store over HTTP, counts calls, and
 * injects latency, outages, lost responses, delayed writes and returns to an earlier state on demand.
 */
import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';
import * as E from 'fp-ts/lib/Either.js';

import {
  createNodeSystem,
  type System,
  waitFor,
} from '@dottereldrift/core/system.js';
import {
  EXPECTED_VERSION_HEADER,
  ORIGIN_HEADER,
  VERSION_HEADER,
} from '@dottereldrift/store/http_store.js';
import {
  MemoryStore,
  type StoreCopy,
} from '@dottereldrift/store/memory_store.js';
import type {StoreFailure} from '@dottereldrift/store/types.js';

/** Injected faults, in effect until changed. */
export interface StoreFaults {
  /** Delay before every call is processed, in milliseconds. */
  readonly latencyMs: number;
  /** Whether every call fails without effect; setting it also breaks pending watches. */
  readonly isOut: boolean;
  /** Whether writes take effect but their responses are lost. */
  readonly isLosingAnswers: boolean;
  /** Delay between the arrival of a write and its effect, in milliseconds. */
  readonly writeDelayMs: number;
}

/** Calls received so far. */
export interface StoreCounts {
  readonly reads: number;
  readonly writes: number;
  readonly lists: number;
  readonly watches: number;
}

const NO_FAULTS: StoreFaults = {
  latencyMs: 0,
  isOut: false,
  isLosingAnswers: false,
  writeDelayMs: 0,
};

const BODY_LIMIT_BYTES = 2_000_000;

/** HTTP server of the simulated object store. */
export class StoreServer {
  private readonly app: FastifyInstance;
  private readonly store: MemoryStore;
  private faults = NO_FAULTS;
  private copy: StoreCopy;
  private readonly counts = {reads: 0, writes: 0, lists: 0, watches: 0};
  private readonly openWatches = new Set<FastifyReply>();

  constructor(private readonly system: System = createNodeSystem()) {
    this.store = new MemoryStore(system);
    this.copy = this.store.createCopy();
    this.app = fastify({
      bodyLimit: BODY_LIMIT_BYTES,
      forceCloseConnections: true,
    });
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

  /** Listens on the loopback address and returns the port; port 0 selects a free one. */
  async listen(port: number): Promise<number> {
    await this.app.listen({host: '127.0.0.1', port});
    const address = this.app.server.address();
    return typeof address === 'object' && address !== null
      ? address.port
      : port;
  }

  async close(): Promise<void> {
    await this.app.close();
  }

  /** Returns the in-memory store that this server serves. */
  getStore(): MemoryStore {
    return this.store;
  }

  getCounts(): StoreCounts {
    return this.counts;
  }

  /** Sets the given faults and leaves the others unchanged. */
  setFaults(faults: Partial<StoreFaults>): void {
    this.faults = {...this.faults, ...faults};
    if (this.faults.isOut) this.breakWatches();
  }

  private addRoutes(): void {
    this.app.get('/objects', async (request, reply) => {
      this.counts.lists += 1;
      if (!(await this.applyFaults(reply))) return reply;
      const {prefix = ''} = request.query as {readonly prefix?: string};
      const listed = await this.store.listObjects(prefix)();
      if (E.isLeft(listed)) return sendFailure(reply, listed.left);
      const objects = listed.right.objects.map(({value, ...object}) => ({
        ...object,
        value: Buffer.from(value).toString('base64'),
      }));
      return reply.send({revision: listed.right.revision, objects});
    });
    this.app.get('/objects/*', async (request, reply) => {
      this.counts.reads += 1;
      if (!(await this.applyFaults(reply))) return reply;
      const read = await this.store.getObject(getKey(request.params))();
      if (E.isLeft(read)) return sendFailure(reply, read.left);
      if (read.right === undefined) return reply.code(404).send();
      const {version, origin} = read.right;
      if (origin !== undefined) void reply.header(ORIGIN_HEADER, origin);
      return reply
        .header(VERSION_HEADER, String(version))
        .type('application/octet-stream')
        .send(Buffer.from(read.right.value));
    });
    this.addWriteRoutes();
    this.app.get('/watch', async (request, reply) => {
      this.counts.watches += 1;
      if (!(await this.applyFaults(reply))) return reply;
      const query = request.query as Record<string, string | undefined>;
      this.openWatches.add(reply);
      const watched = await this.store.watchObjects(
        query['prefix'] ?? '',
        Number(query['after'] ?? 0),
        Number(query['waitMs'] ?? 0),
      )();
      this.openWatches.delete(reply);
      if (this.faults.isOut) return this.breakConnection(reply);
      if (E.isLeft(watched)) return sendFailure(reply, watched.left);
      return reply.send(watched.right);
    });
    this.app.put('/faults', (request, reply) => {
      this.setFaults(JSON.parse(String(request.body)) as Partial<StoreFaults>);
      return reply.send(this.faults);
    });
    this.app.put('/copy', (_request, reply) => {
      this.copy = this.store.createCopy();
      return reply.send();
    });
    this.app.put('/restore', (_request, reply) => {
      this.store.restore(this.copy);
      return reply.send();
    });
    this.app.get('/counts', () => this.counts);
  }

  private addWriteRoutes(): void {
    this.app.put('/objects/*', async (request, reply) => {
      const body = request.body as Buffer | undefined;
      const value = new Uint8Array(body ?? Buffer.alloc(0));
      const expected = Number(request.headers[EXPECTED_VERSION_HEADER] ?? 0);
      return this.serveWrite(reply, () =>
        this.store.updateObject(getKey(request.params), expected, value)(),
      );
    });
    this.app.delete('/objects/*', async (request, reply) => {
      const expected = Number(request.headers[EXPECTED_VERSION_HEADER] ?? 0);
      return this.serveWrite(reply, () =>
        this.store.deleteObject(getKey(request.params), expected)(),
      );
    });
  }

  private async serveWrite(
    reply: FastifyReply,
    write: () => Promise<E.Either<StoreFailure, number>>,
  ): Promise<FastifyReply> {
    this.counts.writes += 1;
    if (!(await this.applyFaults(reply))) return reply;
    if (this.faults.writeDelayMs > 0)
      await waitFor(this.system, this.faults.writeDelayMs);
    const written = await write();
    if (this.faults.isLosingAnswers) return this.breakConnection(reply);
    if (E.isLeft(written)) return sendFailure(reply, written.left);
    return reply.header(VERSION_HEADER, String(written.right)).send();
  }

  private async applyFaults(reply: FastifyReply): Promise<boolean> {
    if (this.faults.latencyMs > 0)
      await waitFor(this.system, this.faults.latencyMs);
    if (!this.faults.isOut) return true;
    void reply.code(503).send();
    return false;
  }

  private breakWatches(): void {
    for (const reply of this.openWatches) void this.breakConnection(reply);
    this.openWatches.clear();
  }

  private breakConnection(reply: FastifyReply): FastifyReply {
    reply.hijack();
    reply.raw.destroy();
    return reply;
  }
}

function getKey(params: unknown): string {
  return (params as {readonly '*': string})['*'];
}

function sendFailure(reply: FastifyReply, failure: StoreFailure): FastifyReply {
  if (failure.kind === 'conflict') {
    return reply
      .code(409)
      .header(VERSION_HEADER, String(failure.foundVersion ?? 0))
      .send();
  }
  return reply.code(failure.kind === 'refused' ? 400 : 503).send();
}
