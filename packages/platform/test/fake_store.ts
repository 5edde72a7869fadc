/**
 * Fake of the platform's metadata store. Supports objects by kind and name, conditional writes, paged lists,
 * watches and injected failures. It may go away and return to a state that it had before: its revisions then
 * go back and are given out again, and the era that it names in its responses rises.
 */
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';

import type {Address} from '@dottereldrift/core/types.js';

interface StoredRecord {
  readonly metadata: {
    readonly name: string;
    readonly rev: number;
    readonly create_revision: number;
  };
  readonly spec: unknown;
}

/** A change of one object, with what is needed to undo it. */
interface StoreChange {
  readonly atMs: number;
  readonly rev: number;
  readonly kind: string;
  readonly name: string;
  readonly before: StoredRecord | undefined;
  readonly after: StoredRecord | undefined;
}

/** A call that the store received. */
export interface StoreCall {
  readonly atMs: number;
  readonly method: string;
  readonly url: string;
  /** 0 until the response was sent. */
  status: number;
}

/** What a test chooses about the store. */
export interface FakeStoreOptions {
  /** Objects in one page of a list. */
  readonly pageSize?: number;
  /** Whether responses name the era of the store. */
  readonly hasEra?: boolean;
}

interface KindParams {
  readonly kind: string;
  readonly name: string;
}

type WriteBody = {metadata?: {name?: string; rev?: number}; spec?: unknown};

const DEFAULT_PAGE_SIZE = 2;
const FIRST_REVISION = 10;
const FIRST_ERA = 4;
const ERA_HEADER = 'store-era';

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
  /** Each call received, in order. */
  readonly calls: StoreCall[] = [];
  /** Whether the next call gets no response on a connection that stays open. */
  isNextSilent = false;
  /** Whether a watch without events waits for the next change; otherwise it returns at once. */
  isWaitingForChanges = false;
  /** Revision before which the history is compacted; watches from before it fail. */
  compactedTo = 0;
  private revision = FIRST_REVISION;
  private era = FIRST_ERA;
  /** All changes, oldest first. */
  private readonly changes: StoreChange[] = [];
  /** When the store went away; undefined while it serves. */
  private leftAtMs: number | undefined;
  private address: Address = {ip: '127.0.0.1', port: 0};
  private server: http.Server | undefined;
  private readonly waiting = new Set<() => void>();
  private readonly kinds = new Map<string, Map<string, StoredRecord>>();
  private readonly app: FastifyInstance = fastify();

  constructor(private readonly options: FakeStoreOptions = {}) {}

  /** Starts the store on a free port unless one is given. */
  async start(address = this.address): Promise<Address> {
    this.addHooks();
    this.addRoutes();
    await this.app.ready();
    this.address = address;
    await this.startServing();
    return this.address;
  }

  async stop(): Promise<void> {
    await this.stopServing();
    await this.app.close();
  }

  /** Goes away: refuses new connections and closes those that are open, without a response. */
  async stopServing(): Promise<void> {
    const {server} = this;
    if (server === undefined) return;
    this.server = undefined;
    this.leftAtMs = performance.now();
    const closed = once(server, 'close');
    server.close();
    server.closeAllConnections();
    for (const wake of [...this.waiting]) wake();
    await closed;
  }

  /** Serves at the address that it had. */
  async startServing(): Promise<void> {
    const server = http.createServer((request, response) => {
      this.app.routing(request, response);
    });
    server.keepAliveTimeout = 0;
    const {ip, port} = this.address;
    server.listen(port, ip);
    await once(server, 'listening');
    this.address = {ip, port: (server.address() as AddressInfo).port};
    this.server = server;
    this.leftAtMs = undefined;
  }

  /** Returns to the state that the store had some time before it went away, and to its revision. */
  replaceByCopy(copyAgeMs: number): void {
    const copiedAtMs = (this.leftAtMs ?? performance.now()) - copyAgeMs;
    for (;;) {
      const last = this.changes.at(-1);
      if (last === undefined || last.atMs <= copiedAtMs) break;
      this.changes.pop();
      const objects = this.getKind(last.kind);
      if (last.before === undefined) objects.delete(last.name);
      else objects.set(last.name, last.before);
    }
    this.revision = this.changes.at(-1)?.rev ?? FIRST_REVISION;
    this.era += 1;
  }

  /** Whether the store serves. */
  isServing(): boolean {
    return this.server !== undefined;
  }

  getRevision(): number {
    return this.revision;
  }

  /** Counts the calls from one on by method, kind and status; a call without a response has status 0. */
  formatCalls(firstCall: number): string {
    const counts = new Map<string, number>();
    for (const {method, url, status} of this.calls.slice(firstCall)) {
      const {pathname, searchParams} = new URL(url, 'http://store');
      const [, , kind = ''] = pathname.split('/');
      const how = searchParams.has('watch') ? 'watch' : method;
      const name = `${how} ${kind} ${status}`;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return [...counts].map(([name, count]) => `${name}: ${count}`).join('; ');
  }

  /** Writes an object and returns its revision; content that it already has changes nothing. */
  put(kind: string, name: string, spec: unknown): number {
    const before = this.getKind(kind).get(name);
    if (before !== undefined && isSame(before.spec, spec))
      return before.metadata.rev;
    const rev = this.revision + 1;
    const created = before?.metadata.create_revision ?? rev;
    const metadata = {name, rev, create_revision: created};
    this.setObject(kind, name, {metadata, spec});
    return rev;
  }

  private setObject(
    kind: string,
    name: string,
    after: StoredRecord | undefined,
  ): void {
    const objects = this.getKind(kind);
    const before = objects.get(name);
    this.revision += 1;
    const atMs = performance.now();
    const {revision: rev} = this;
    this.changes.push({atMs, rev, kind, name, before, after});
    if (after === undefined) objects.delete(name);
    else objects.set(name, after);
    for (const wake of [...this.waiting]) wake();
  }

  private addHooks(): void {
    this.app.addHook('onRequest', async (request, reply) => {
      const {socket} = request.raw;
      this.sockets.push(socket);
      this.urls.push(request.url);
      const call: StoreCall = {
        atMs: performance.now(),
        method: request.method,
        url: request.url,
        status: 0,
      };
      this.calls.push(call);
      reply.raw.once('finish', () => {
        call.status = reply.raw.statusCode;
      });
      if (this.isNextSilent) {
        this.isNextSilent = false;
        return reply.hijack();
      }
      const status = this.nextStatus;
      this.nextStatus = 0;
      if (status > 0) return reply.code(status).send({});
      return undefined;
    });
    this.app.addHook('onSend', async (request, reply, payload) => {
      if (this.options.hasEra === true) reply.header(ERA_HEADER, this.era);
      return payload;
    });
  }

  private addRoutes(): void {
    this.app.get<{
      Params: KindParams;
      Querystring: {after?: string; watch?: string; wait_ms?: string};
    }>('/objects/:kind', async (request, reply) => {
      const {kind} = request.params;
      const {after = '', watch, wait_ms: waitMs = '0'} = request.query;
      if (watch !== undefined) {
        const from = Number(watch);
        if (from < this.compactedTo || from > this.revision)
          return reply.code(410).send({});
        const events = this.isWaitingForChanges
          ? await this.waitForEvents(kind, from, Number(waitMs))
          : this.listEvents(kind, from);
        return reply.send({events, store_revision: this.revision});
      }
      const records = this.listRecords(kind);
      const rest = records.filter(({metadata}) => metadata.name > after);
      const {pageSize = DEFAULT_PAGE_SIZE} = this.options;
      return reply.send({
        items: rest.slice(0, pageSize),
        has_more: rest.length > pageSize,
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
        const expected =
          request.body.metadata?.rev ??
          this.getKind(kind).get(name)?.metadata.rev;
        if (expected === undefined) return reply.code(404).send({});
        return this.write(
          reply as FastifyReply,
          kind,
          name,
          expected,
          request.body,
        );
      },
    );
    this.app.delete<{Params: KindParams; Querystring: {rev?: string}}>(
      '/objects/:kind/:name',
      (request, reply) => {
        const {kind, name} = request.params;
        const existing = this.getKind(kind).get(name);
        if (existing === undefined) return reply.code(404).send({});
        const {rev = existing.metadata.rev} = request.query;
        if (Number(rev) !== existing.metadata.rev)
          return reply.code(409).send(existing);
        this.setObject(kind, name, undefined);
        return reply.send(existing);
      },
    );
  }

  private listRecords(kind: string): readonly StoredRecord[] {
    return [...this.getKind(kind).values()].sort((a, b) =>
      a.metadata.name < b.metadata.name ? -1 : 1,
    );
  }

  /** Lists the last change of each object of a kind after a revision. */
  private listEvents(kind: string, revision: number) {
    const last = new Map<string, StoreChange>();
    for (let index = this.changes.length - 1; index >= 0; index -= 1) {
      const change = this.changes[index];
      if (change === undefined || change.rev <= revision) break;
      if (change.kind === kind && !last.has(change.name))
        last.set(change.name, change);
    }
    return [...last.values()].reverse().flatMap(({rev, before, after}) => {
      if (after !== undefined) return [{object: after, removed: false}];
      if (before === undefined) return [];
      const metadata = {...before.metadata, rev};
      return [{object: {...before, metadata}, removed: true}];
    });
  }

  /** Waits up to a limit for events of a kind. */
  private async waitForEvents(kind: string, revision: number, limitMs: number) {
    const endMs = performance.now() + limitMs;
    for (;;) {
      const events = this.listEvents(kind, revision);
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0 || !this.isServing()) return events;
      await this.waitForChange(leftMs);
    }
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
    this.put(kind, name, body.spec);
    if (this.isNextResponseLost) {
      this.isNextResponseLost = false;
      reply.hijack();
      reply.raw.destroy();
      return reply;
    }
    return reply.send(this.getKind(kind).get(name));
  }

  private getKind(kind: string): Map<string, StoredRecord> {
    const objects = this.kinds.get(kind) ?? new Map<string, StoredRecord>();
    this.kinds.set(kind, objects);
    return objects;
  }
}

function isSame(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
