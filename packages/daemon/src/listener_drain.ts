/**
 * Closes a listener without losing requests. Responses carry `connection: close`, so that callers send
 * their next request elsewhere. Idle connections are then ended with an unsolicited refusal, which a
 * request that is already in transit receives as its response.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {FastifyInstance} from 'fastify';

import {type System, waitFor} from '@dottereldrift/core/system.js';

const POLL_MS = 20;
/** Time for which an ended connection is still read, so that data in transit does not cause a reset. */
const LINGER_MS = 500;
/** Time allowed at close for the first request, or the rest of a head, on an open connection. */
const FIRST_REQUEST_TIMEOUT_MS = 500;
/** Node's default listen backlog: connections that can wait to be accepted. */
const MAX_ACCEPT_QUEUE_LENGTH = 511;

/** Drains one listener. */
export class ListenerDrain {
  private isDraining = false;
  /** Number of connections accepted so far. */
  private acceptedCount = 0;
  private readonly sockets = new Set<Socket>();
  private readonly endedSockets = new WeakSet<Socket>();

  constructor(
    private readonly system: System,
    private readonly app: FastifyInstance,
    /** Raw response sent on idle connections at close: `not-run` and `connection: close`; empty for none. */
    private readonly refusalResponse: string,
  ) {
    app.server.prependListener('request', (_request, response) => {
      if (this.isDraining) response.shouldKeepAlive = false;
    });
    app.server.on('connection', socket => {
      this.acceptedCount += 1;
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    const closeIdle = app.server.closeIdleConnections.bind(app.server);
    // The server calls this when it closes; the default implementation resets connections with unread data.
    app.server.closeIdleConnections = () => {
      this.endIdleConnections(closeIdle);
    };
  }

  /** Makes every response from now on close its connection. */
  start(): void {
    this.isDraining = true;
    for (const socket of this.sockets) {
      const response = getPendingResponse(socket);
      if (response?.headersSent === false) response.shouldKeepAlive = false;
    }
  }

  /** Waits until no connection is open or the time limit has passed. */
  async waitUntilEmpty(limitMs: number): Promise<void> {
    const endMs = this.system.getNow().monotonicMs + limitMs;
    while ((await this.countConnections()) > 0) {
      if (this.system.getNow().monotonicMs >= endMs) return;
      await waitFor(this.system, POLL_MS);
    }
  }

  /**
   * Closes the listener and its idle connections. Waits for an event loop iteration first, which reads
   * the requests that have already arrived, so that few are refused.
   */
  async close(): Promise<void> {
    await waitForLoopIteration();
    await this.waitForAcceptQueue();
    await new Promise<void>(resolve => {
      this.app.server.close(() => {
        resolve();
      });
    });
    await this.app.close();
  }

  /**
   * Waits until an event loop iteration accepts no connection, or a full accept queue has been processed.
   * An iteration accepts one connection, and closing the listener resets those still in the queue together
   * with the requests sent on them. The limit is a count rather than a time, because on a busy host both
   * the queue and the iterations are longer.
   */
  private async waitForAcceptQueue(): Promise<void> {
    for (let iteration = 0; iteration < MAX_ACCEPT_QUEUE_LENGTH; iteration++) {
      const acceptedBefore = this.acceptedCount;
      await waitForLoopIteration();
      if (this.acceptedCount === acceptedBefore) return;
    }
  }

  /** Ends idle connections now, and after a timeout those that still have no request. */
  private endIdleConnections(closeIdle: () => void): void {
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
      const cancel = this.system.startTimer(FIRST_REQUEST_TIMEOUT_MS, () => {
        this.endConnection(socket);
      });
      socket.once('close', cancel);
    }
  }

  /** Ends a connection once no response is pending on it. */
  private endConnection(socket: Socket): void {
    if (this.endedSockets.has(socket)) return;
    const response = getPendingResponse(socket);
    if (response !== undefined) {
      response.once('close', () => {
        this.endConnection(socket);
      });
      return;
    }
    this.endedSockets.add(socket);
    if (!socket.writable) return;
    // Data read from here on does not reach the HTTP parser, so no further request is run.
    socket.removeAllListeners('data');
    socket.on('data', () => {});
    socket.end(this.refusalResponse);
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

/** Waits until the next event loop iteration has read the data that had arrived. */
function waitForLoopIteration(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}

/** Returns the pending response of a connection, or the first of several. */
function getPendingResponse(socket: Socket): ServerResponse | undefined {
  const {_httpMessage: response} = socket as {
    _httpMessage?: ServerResponse | null;
  };
  return response ?? undefined;
}
