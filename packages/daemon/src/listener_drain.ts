/**
 * Ends the connections of a listener without cutting a request off: answers say that the connection
 * closes, so that callers send their next request elsewhere. Connections without a request are then
 * ended with a refusal that nobody asked for: a request that crosses it on the way finds its outcome there.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {FastifyInstance} from 'fastify';

import {type System, waitFor} from '@dottereldrift/core/system.js';

const POLL_MS = 20;
/** Time for which an ended connection is read, so that what crosses its end does not reset it. */
const LINGER_MS = 500;
/** Time in which the first request, or the rest of a head, arrives on a connection that was open at the end. */
const FIRST_REQUEST_MS = 500;
/** Connections that can wait to be taken by a listener: the length of its queue. */
const MAX_WAITING_CONNECTIONS = 511;

/** Drains one listener. */
export class ListenerDrain {
  private isDraining = false;
  /** Connections that were taken. */
  private taken = 0;
  private readonly sockets = new Set<Socket>();
  private readonly ended = new WeakSet<Socket>();

  constructor(
    private readonly system: System,
    private readonly app: FastifyInstance,
    /** Answer that says that a request was not run, and that the connection closes; empty for none. */
    private readonly refusal: string,
  ) {
    app.server.prependListener('request', (_request, response) => {
      if (this.isDraining) response.shouldKeepAlive = false;
    });
    app.server.on('connection', socket => {
      this.taken += 1;
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    const closeIdle = app.server.closeIdleConnections.bind(app.server);
    // The server calls this when it closes; by itself it resets connections with unread bytes.
    app.server.closeIdleConnections = () => {
      this.endIdle(closeIdle);
    };
  }

  /** From now on every answer closes its connection. */
  start(): void {
    this.isDraining = true;
    for (const socket of this.sockets) {
      const response = getResponse(socket);
      if (response?.headersSent === false) response.shouldKeepAlive = false;
    }
  }

  /** Waits until no connection is open, at most for a time in milliseconds. */
  async waitUntilEmpty(limitMs: number): Promise<void> {
    const endMs = this.system.getNow().monotonicMs + limitMs;
    while ((await this.countConnections()) > 0) {
      if (this.system.getNow().monotonicMs >= endMs) return;
      await waitFor(this.system, POLL_MS);
    }
  }

  /**
   * Closes the listener and its idle connections right after a turn of the event loop has read what had
   * arrived, so that few requests are refused.
   */
  async close(): Promise<void> {
    await waitForTurn();
    await this.takeWaitingConnections();
    await new Promise<void>(resolve => {
      this.app.server.close(() => {
        resolve();
      });
    });
    await this.app.close();
  }

  /**
   * Waits until a turn of the event loop has taken no connection, or all that can have waited are taken. A turn
   * takes one, and those that still wait as the listener closes are reset, with what was sent on them. Time
   * is no bound, as a host that is busy makes both the queue and the turns longer.
   */
  private async takeWaitingConnections(): Promise<void> {
    for (let turn = 0; turn < MAX_WAITING_CONNECTIONS; turn++) {
      const takenBefore = this.taken;
      await waitForTurn();
      if (this.taken === takenBefore) return;
    }
  }

  /** Ends the connections that the server would close at once, and later those that still have no request. */
  private endIdle(closeIdle: () => void): void {
    const sockets = [...this.sockets];
    const destroys = sockets.map(socket => socket.destroy);
    for (const socket of sockets) {
      socket.destroy = () => {
        this.endConnection(socket);
        return socket;
      };
    }
    closeIdle();
    for (const [index, socket] of sockets.entries()) {
      socket.destroy = destroys[index] ?? socket.destroy;
      const cancel = this.system.startTimer(FIRST_REQUEST_MS, () => {
        this.endConnection(socket);
      });
      socket.once('close', cancel);
    }
  }

  /** Ends a connection once no answer is under way on it. */
  private endConnection(socket: Socket): void {
    if (this.ended.has(socket)) return;
    const response = getResponse(socket);
    if (response !== undefined) {
      response.once('close', () => {
        this.endConnection(socket);
      });
      return;
    }
    this.ended.add(socket);
    if (!socket.writable) return;
    // Nothing that is read from here on reaches the HTTP parser, so it is not run.
    socket.removeAllListeners('data');
    socket.on('data', () => {});
    socket.end(this.refusal);
    const cancel = this.system.startTimer(LINGER_MS, () => {
      socket.destroy();
    });
    socket.once('close', cancel);
  }

  private countConnections(): Promise<number> {
    return new Promise(resolve => {
      this.app.server.getConnections((error, count) => {
        resolve(error === null ? count : 0);
      });
    });
  }
}

/** Waits until the next turn of the event loop has read what had arrived. */
function waitForTurn(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}

/** Returns the answer that is under way on a connection, or the first of several. */
function getResponse(socket: Socket): ServerResponse | undefined {
  const {_httpMessage: response} = socket as {
    _httpMessage?: ServerResponse | null;
  };
  return response ?? undefined;
}
