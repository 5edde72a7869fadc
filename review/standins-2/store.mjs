/* global Buffer, URL, clearTimeout, setTimeout */
// Stand-in of the platform's metadata store: objects by kind and name, conditional writes, watches.
// While it is down it accepts connections and answers nothing, as a store that is silent.
import http from 'node:http';

export class Store {
  revision = 10;
  kinds = new Map();
  events = [];
  waiting = new Set();
  isDown = false;
  held = new Set();

  async start(ip, port) {
    this.server = http.createServer((request, response) =>
      this.handle(request, response),
    );
    this.server.keepAliveTimeout = 0;
    await new Promise(resolve => this.server.listen(port, ip, resolve));
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Falls silent: calls that arrive are not executed and get no answer. */
  goDown() {
    this.isDown = true;
  }

  /** Serves again; connections that lost an answer are closed. */
  comeBack() {
    this.isDown = false;
    for (const socket of this.held) socket.destroy();
    this.held.clear();
  }

  objects(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  put(kind, name, spec) {
    const before = this.objects(kind).get(name);
    if (before && JSON.stringify(before.spec) === JSON.stringify(spec))
      return before;
    this.revision += 1;
    const object = {
      metadata: {
        name,
        rev: this.revision,
        create_revision: before?.metadata.create_revision ?? this.revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: null,
    };
    this.objects(kind).set(name, object);
    this.notify(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const object = this.objects(kind).get(name);
    if (!object) return;
    this.objects(kind).delete(name);
    this.revision += 1;
    this.notify(
      kind,
      {...object, metadata: {...object.metadata, rev: this.revision}},
      true,
    );
  }

  notify(kind, object, removed) {
    this.events.push({kind, rev: this.revision, object, removed});
    for (const wake of [...this.waiting]) wake();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isDown) {
      this.held.add(request.socket);
      return;
    }
    const url = new URL(request.url, 'http://store');
    const [, , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const send = (status, value) => {
      if (this.isDown) {
        this.held.add(request.socket);
        return;
      }
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(value));
    };
    if (request.method === 'GET' && url.searchParams.has('watch')) {
      this.watch(kind, url.searchParams, send, request.socket);
    } else if (request.method === 'GET' && name !== undefined) {
      const object = this.objects(kind).get(name);
      send(object ? 200 : 404, object ?? {});
    } else if (request.method === 'GET') {
      const after = url.searchParams.get('after') ?? '';
      const items = [...this.objects(kind).values()]
        .filter(({metadata}) => metadata.name > after)
        .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
      send(200, {items, has_more: false, store_revision: this.revision});
    } else if (request.method === 'POST') {
      const known = this.objects(kind).get(body.metadata.name);
      if (known) send(409, known);
      else send(201, this.put(kind, body.metadata.name, body.spec));
    } else if (request.method === 'PUT') {
      const known = this.objects(kind).get(name);
      const rev = body.metadata?.rev;
      if (!known) send(404, {});
      else if (rev !== undefined && rev !== known.metadata.rev)
        send(409, known);
      else send(200, this.put(kind, name, body.spec));
    } else if (request.method === 'DELETE') {
      const known = this.objects(kind).get(name);
      const rev = url.searchParams.get('rev');
      if (!known) send(404, {});
      else if (rev !== null && Number(rev) !== known.metadata.rev)
        send(409, known);
      else {
        this.remove(kind, name);
        send(200, known);
      }
    } else send(405, {});
  }

  watch(kind, parameters, send, socket) {
    const from = Number(parameters.get('watch'));
    const endMs =
      Date.now() + Math.min(30_000, Number(parameters.get('wait_ms') ?? 0));
    const list = () =>
      this.events.filter(event => event.kind === kind && event.rev > from);
    const check = () => {
      const found = list();
      if (found.length === 0 && Date.now() < endMs) return;
      clearTimeout(timer);
      this.waiting.delete(check);
      const events = found.map(({object, removed}) => ({object, removed}));
      send(200, {events, store_revision: this.revision});
    };
    this.waiting.add(check);
    const timer = setTimeout(check, Math.max(0, endMs - Date.now()) + 1);
    socket.setMaxListeners(0);
    socket.once('close', () => {
      clearTimeout(timer);
      this.waiting.delete(check);
    });
    check();
  }
}
