/**
 * Ends the connections of a listener without cutting a request off: answers say that the connection
 * closes, so that callers send their next request elsewhere, before idle connections are closed.
 */
import type {FastifyInstance} from 'fastify';

import {type System, waitFor} from '@dottereldrift/core/system.js';

const POLL_MS = 20;

/** Drains one listener. */
export class ListenerDrain {
  private isDraining = false;

  constructor(
    private readonly system: System,
    private readonly app: FastifyInstance,
  ) {
    app.server.prependListener('request', (_request, response) => {
      if (this.isDraining) response.shouldKeepAlive = false;
    });
  }

  /** From now on every answer closes its connection. */
  start(): void {
    this.isDraining = true;
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
   * arrived. A daemon that was held up would else reset connections whose requests it has not read.
   */
  async close(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
    await new Promise<void>(resolve => {
      setImmediate(() => {
        this.app.server.close(() => {
          resolve();
        });
      });
    });
    await this.app.close();
  }

  private countConnections(): Promise<number> {
    return new Promise(resolve => {
      this.app.server.getConnections((error, count) => {
        resolve(error === null ? count : 0);
      });
    });
  }
}
