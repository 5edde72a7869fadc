/**
 * Fake of the platform's metadata store. Supports objects by kind and name, conditional writes, paged lists,
 * watches and injected failures.
 */
import type {AddressInfo, Socket} from 'node:net';

import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';

import type {Address} from '@dottereldrift/core/types.js';

interface StoredRecord {
  metadata: {name: string; rev: number};
  spec: unknown;
}

interface KindParams {
  readonly kind: string;
  readonly name: string;
}

type WriteBody = {metadata?: {name?: string; rev?: number}; spec?: unknown};

const PAGE_SIZE = 2;
const FIRST_REVISION = 10;

/** Serves a fake store over HTTP on a loopback port. */
export class FakeStore {
  /** Status returned for the next call instead of executing it; 0 for none. */
  nextStatus = 0;
  /** Whether the next write is executed and its connection then closed without a response. */
  isNextResponseLost = false;
  /** Path and query of each call received, in order. */
  readonly urls: string[] = [];
  /** Connection of each call received, in order. */
  readonly sockets: Socket[] = [];
  /** Whether the next call gets no response on a connection that stays open. */
  isNextSilent = false;
  /** Whether a watch without events waits for the next change; otherwise it returns at once. */
  isWaitingForChanges = false;
  /** Revision before which the history is compacted; watches from before it fail. */
  compactedTo = 0;
  private revision = FIRST_REVISION;
  private readonly waiting = new Set<() => void>();
  private readonly kinds = new Map<string, Map<string, StoredRecord>>();
  private readonly app: FastifyInstance = fastify({
    forceCloseConnections: true,
  });

  async start(): Promise<Address> {
    this.app.addHook('onRequest', async (request, reply) => {
      this.sockets.push(request.raw.socket);
      this.urls.push(request.url);
      if (this.isNextSilent) {
        this.isNextSilent = false;
        return reply.hijack();
      }
      const status = this.nextStatus;
      this.nextStatus = 0;
      if (status > 0) return reply.code(status).send({});
      return undefined;
    });
    this.addRoutes();
    await this.app.listen({host: '127.0.0.1', port: 0});
    const {port} = this.app.server.address() as AddressInfo;
    return {ip: '127.0.0.1', port};
  }

  async stop(): Promise<void> {
    for (const wake of [...this.waiting]) wake();
    await this.app.close();
  }

  put(kind: string, name: string, spec: unknown): number {
    this.revision += 1;
    const record = {metadata: {name, rev: this.revision}, spec};
    this.getKind(kind).set(name, record);
    for (const wake of [...this.waiting]) wake();
    return this.revision;
  }

  private addRoutes(): void {
    this.app.get<{
      Params: KindParams;
      Querystring: {after?: string; watch?: string; wait_ms?: string};
    }>('/objects/:kind', async (request, reply) => {
      const {kind} = request.params;
      const {after = '', watch, wait_ms: waitMs = '0'} = request.query;
      if (watch !== undefined) {
        if (Number(watch) < this.compactedTo) return reply.code(410).send({});
        const find = () => this.listEvents(kind, Number(watch));
        if (this.isWaitingForChanges && find().length === 0)
          await this.waitForChange(Number(waitMs));
        return reply.send({events: find(), store_revision: this.revision});
      }
      const records = this.listRecords(kind);
      const rest = records.filter(({metadata}) => metadata.name > after);
      return reply.send({
        items: rest.slice(0, PAGE_SIZE),
        has_more: rest.length > PAGE_SIZE,
        store_revision: this.revision,
      });
    });
    this.app.get<{Params: KindParams}>(
      '/objects/:kind/:name',
      (request, reply) => {
        const {kind, name} = request.params;
        const found = this.getKind(kind).get(name);
        return found === undefined
          ? reply.code(404).send({})
          : reply.send(found);
      },
    );
    this.app.post<{Params: KindParams; Body: WriteBody}>(
      '/objects/:kind',
      (request, reply) => {
        const name = request.body.metadata?.name ?? '';
        return this.write(
          reply as FastifyReply,
          request.params.kind,
          name,
          0,
          request.body,
        );
      },
    );
    this.app.put<{Params: KindParams; Body: WriteBody}>(
      '/objects/:kind/:name',
      (request, reply) => {
        const {kind, name} = request.params;
        const rev = request.body.metadata?.rev ?? 0;
        return this.write(reply as FastifyReply, kind, name, rev, request.body);
      },
    );
  }

  private listRecords(kind: string): readonly StoredRecord[] {
    return [...this.getKind(kind).values()].sort((a, b) =>
      a.metadata.name < b.metadata.name ? -1 : 1,
    );
  }

  private listEvents(kind: string, revision: number) {
    return this.listRecords(kind)
      .filter(({metadata}) => metadata.rev > revision)
      .map(object => ({object, removed: false}));
  }

  private waitForChange(limitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, limitMs);
      this.waiting.add(wake);
    });
  }

  private write(
    reply: FastifyReply,
    kind: string,
    name: string,
    expected: number,
    body: WriteBody,
  ) {
    const existing = this.getKind(kind).get(name);
    if ((existing?.metadata.rev ?? 0) !== expected)
      return reply.code(409).send(existing);
    const rev = this.put(kind, name, body.spec);
    if (this.isNextResponseLost) {
      this.isNextResponseLost = false;
      reply.hijack();
      reply.raw.destroy();
      return reply;
    }
    return reply.send({metadata: {name, rev}, spec: body.spec});
  }

  private getKind(kind: string): Map<string, StoredRecord> {
    const objects = this.kinds.get(kind) ?? new Map<string, StoredRecord>();
    this.kinds.set(kind, objects);
    return objects;
  }
}
