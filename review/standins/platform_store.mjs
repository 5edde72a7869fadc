/**
 * Stand-in of the platform's metadata store: objects by kind and name, conditional writes, lists and watches.
 * It serves the calls that PROTOCOL.md describes and loses nothing that it has acknowledged.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const ANSWER_MS = 4;
const PAGE_SIZE = 500;

export class PlatformStore {
  /** Added to the time of each answer, in milliseconds. */
  delayMs = 0;
  /** While true, every call gets 503 ("nothing was done"). */
  isBusy = false;
  /** While true, no call is executed or answered. */
  isSilent = false;
  writes = 0;
  #revision = 10;
  #kinds = new Map();
  #events = [];
  #waiters = new Set();
  #server;

  async start(ip) {
    this.#server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        if (this.isSilent) return;
        setTimeout(() => {
          const text = Buffer.concat(chunks).toString('utf8');
          this.#handle(request, response, text === '' ? {} : JSON.parse(text));
        }, ANSWER_MS + this.delayMs);
      });
    });
    await new Promise(resolve => this.#server.listen(0, ip, resolve));
    return `${ip}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object as the operator; returns its revision. */
  put(kind, name, spec) {
    this.#revision += 1;
    const objects = this.#kinds.get(kind) ?? new Map();
    this.#kinds.set(kind, objects);
    const metadata = {
      name,
      rev: this.#revision,
      create_revision:
        objects.get(name)?.metadata.create_revision ?? this.#revision,
      finalizers: [],
      deleting: false,
    };
    const object = {metadata, spec, status: null};
    objects.set(name, object);
    this.#events.push({kind, rev: this.#revision, object, removed: false});
    for (const wake of [...this.#waiters]) wake();
    return this.#revision;
  }

  get(kind, name) {
    return this.#kinds.get(kind)?.get(name);
  }

  list(kind) {
    return [...(this.#kinds.get(kind)?.values() ?? [])].sort((a, b) =>
      a.metadata.name < b.metadata.name ? -1 : 1,
    );
  }

  #handle(request, response, body) {
    if (this.isSilent) return;
    if (this.isBusy) return send(response, 503, {});
    const url = new URL(request.url, 'http://store');
    const [, , kind, encodedName] = url.pathname.split('/');
    const name = encodedName && decodeURIComponent(encodedName);
    if (request.method === 'GET') this.#read(url, response, kind, name);
    else this.#write(request.method, url, response, kind, name, body);
  }

  #read(url, response, kind, name) {
    if (name !== undefined) {
      const found = this.get(kind, name);
      send(response, found === undefined ? 404 : 200, found ?? {});
      return;
    }
    const watch = url.searchParams.get('watch');
    if (watch !== null) {
      this.#watch(
        response,
        kind,
        Number(watch),
        Number(url.searchParams.get('wait_ms')),
      );
      return;
    }
    const after = url.searchParams.get('after') ?? '';
    const rest = this.list(kind).filter(({metadata}) => metadata.name > after);
    send(response, 200, {
      items: rest.slice(0, PAGE_SIZE),
      has_more: rest.length > PAGE_SIZE,
      store_revision: this.#revision,
    });
  }

  #watch(response, kind, revision, waitMs) {
    const find = () =>
      this.#events
        .filter(event => event.kind === kind && event.rev > revision)
        .map(({object, removed}) => ({object, removed}));
    const answer = () => {
      this.#waiters.delete(wake);
      clearTimeout(timer);
      if (this.isSilent) return;
      setTimeout(() => {
        if (this.isSilent) return;
        send(response, 200, {events: find(), store_revision: this.#revision});
      }, this.delayMs);
    };
    const wake = () => {
      if (find().length > 0) answer();
    };
    const timer = setTimeout(answer, waitMs);
    this.#waiters.add(wake);
    response.once('close', () => this.#waiters.delete(wake));
    wake();
  }

  #write(method, url, response, kind, pathName, body) {
    this.writes += 1;
    const name = pathName ?? body.metadata?.name;
    const found = this.get(kind, name);
    const rev =
      body.metadata?.rev ??
      (url.searchParams.has('rev')
        ? Number(url.searchParams.get('rev'))
        : undefined);
    if (method === 'POST' && found !== undefined)
      return send(response, 409, found);
    if (method !== 'POST' && found === undefined)
      return send(response, 404, {});
    if (method !== 'POST' && rev !== undefined && rev !== found.metadata.rev)
      return send(response, 409, found);
    if (method === 'DELETE') {
      this.#revision += 1;
      this.#kinds.get(kind).delete(name);
      const metadata = {...found.metadata, rev: this.#revision};
      const object = {...found, metadata};
      this.#events.push({kind, rev: this.#revision, object, removed: true});
      for (const wake of [...this.#waiters]) wake();
      return send(response, 200, object);
    }
    const isSame =
      found !== undefined &&
      JSON.stringify(found.spec) === JSON.stringify(body.spec);
    if (!isSame) this.put(kind, name, body.spec);
    return send(response, 200, this.get(kind, name));
  }
}

function send(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
